import type { Service } from "#model";

/** Label value for services and classes that are not in the document. */
export const OTHER_LABEL = "other";
/**
 * Longest name that is a label value; each of the tens of series of a class repeats
 * it. Configuration items of builds up to 74709bf have names of any length.
 */
const MAX_LABEL_LENGTH = 256;

export interface ClassLabels {
  readonly service: string;
  readonly class: string;
}

export interface OutcomeLabels extends ClassLabels {
  readonly outcome: string;
  readonly code: string;
}

/** Label sets of services and classes that were removed from the document. */
export interface RemovedLabels {
  readonly services: readonly string[];
  readonly classes: readonly ClassLabels[];
  readonly outcomes: readonly OutcomeLabels[];
}

interface KnownClass {
  readonly labels: ClassLabels;
  readonly outcomes: Map<string, OutcomeLabels>;
}

/**
 * Limits label values to the names in the document; a caller could otherwise
 * create a new time series with every request.
 */
export class ServiceLabels {
  #services = new Map<string, Map<string, KnownClass>>();
  readonly #other = createKnownClass(OTHER_LABEL, OTHER_LABEL);

  /**
   * Replaces the known services and returns the label sets that are removed.
   */
  configure(services: readonly Service[]): RemovedLabels {
    const previous = this.#services;
    const labelled = services.filter(
      ({ name }) => name.length <= MAX_LABEL_LENGTH,
    );
    this.#services = new Map(
      labelled.map(({ name, classes }) => [
        name,
        new Map(
          classes.map((c) => [
            c.name,
            previous.get(name)?.get(c.name) ?? createKnownClass(name, c.name),
          ]),
        ),
      ]),
    );
    const removedClasses = [...previous].flatMap(([service, classes]) =>
      [...classes]
        .filter(([name]) => !this.#services.get(service)?.has(name))
        .map(([, entry]) => entry),
    );
    return {
      services: [...previous.keys()].filter(
        (name) => !this.#services.has(name),
      ),
      classes: removedClasses.map(({ labels }) => labels),
      outcomes: removedClasses.flatMap(({ outcomes }) => [
        ...outcomes.values(),
      ]),
    };
  }

  serviceLabel(name: string): string {
    return this.#services.has(name) ? name : OTHER_LABEL;
  }

  classLabels(service: string, className: string): ClassLabels {
    return this.#find(service, className).labels;
  }

  outcomeLabels(
    labels: ClassLabels,
    { outcome, code }: { outcome: string; code: string },
  ): OutcomeLabels {
    const { outcomes } = this.#find(labels.service, labels.class);
    const key = `${outcome} ${code}`;
    const found = outcomes.get(key);
    if (found) return found;
    const created = { ...labels, outcome, code };
    outcomes.set(key, created);
    return created;
  }

  #find(service: string, className: string): KnownClass {
    return this.#services.get(service)?.get(className) ?? this.#other;
  }
}

function createKnownClass(service: string, className: string): KnownClass {
  return { labels: { service, class: className }, outcomes: new Map() };
}
