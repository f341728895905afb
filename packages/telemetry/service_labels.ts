import type { Service } from "#model";

/** Label value of names that the document does not have. */
export const OTHER = "other";

export interface ClassLabels {
  readonly service: string;
  readonly class: string;
}

export interface OutcomeLabels extends ClassLabels {
  readonly outcome: string;
  readonly code: string;
}

/** Label sets of services that the document no longer has. */
export interface GoneLabels {
  readonly services: readonly string[];
  readonly classes: readonly ClassLabels[];
  readonly outcomes: readonly OutcomeLabels[];
}

interface KnownClass {
  readonly labels: ClassLabels;
  readonly outcomes: Map<string, OutcomeLabels>;
}

/**
 * Bounds label values to the names of the document: a caller could otherwise
 * make a new time series with every request.
 */
export class ServiceLabels {
  #services = new Map<string, Map<string, KnownClass>>();
  readonly #other = known(OTHER, OTHER);

  /** Replaces the known names and returns the label sets that are gone. */
  configure(services: readonly Service[]): GoneLabels {
    const before = this.#services;
    this.#services = new Map(
      services.map(({ name, classes }) => [
        name,
        new Map(
          classes.map((c) => [
            c.name,
            before.get(name)?.get(c.name) ?? known(name, c.name),
          ]),
        ),
      ]),
    );
    const gone = [...before].flatMap(([service, classes]) =>
      [...classes]
        .filter(([name]) => !this.#services.get(service)?.has(name))
        .map(([, entry]) => entry),
    );
    return {
      services: [...before.keys()].filter((name) => !this.#services.has(name)),
      classes: gone.map(({ labels }) => labels),
      outcomes: gone.flatMap(({ outcomes }) => [...outcomes.values()]),
    };
  }

  service(name: string): string {
    return this.#services.has(name) ? name : OTHER;
  }

  of(service: string, className: string): ClassLabels {
    return this.#find(service, className).labels;
  }

  outcome(
    labels: ClassLabels,
    { outcome, code }: { outcome: string; code: string },
  ): OutcomeLabels {
    const { outcomes } = this.#find(labels.service, labels.class);
    const key = `${outcome} ${code}`;
    const found = outcomes.get(key);
    if (found) return found;
    const made = { ...labels, outcome, code };
    outcomes.set(key, made);
    return made;
  }

  #find(service: string, className: string): KnownClass {
    return this.#services.get(service)?.get(className) ?? this.#other;
  }
}

function known(service: string, className: string): KnownClass {
  return { labels: { service, class: className }, outcomes: new Map() };
}
