import {
  type Configuration,
  type ControlPeer,
  type DataCentre,
  EMPTY_DOCUMENT,
  EMPTY_VIEW,
  type Entry,
  type FormerView,
  type HostRoute,
  type LeavingServer,
  type PlannedStop,
  type RequestLimits,
  type Service,
  type StopProgress,
  type Tenant,
  UNSETTLED,
  type View,
} from "#model";

/** The difference between two versions of a keyed list. */
export interface ListChange<T> {
  readonly changed: readonly T[];
  readonly removed: readonly string[];
}

/** A former view, as its difference from the view that followed it. */
export interface FormerViewChange {
  readonly epoch: number;
  readonly began: number;
  readonly ended: number;
  readonly entries: ListChange<Entry>;
}

/** The difference between two versions of the configuration. */
export interface ConfigurationChange {
  /** The version that the change applies to; 0 for a complete configuration. */
  readonly from: number;
  readonly to: number;
  readonly revision: number;
  readonly clockSkewMs: number;
  readonly regions?: Configuration["document"]["regions"];
  readonly services: ListChange<Service>;
  readonly plannedStops: ListChange<PlannedStop>;
  readonly stops: ListChange<StopProgress>;
  readonly hostRoutes: ListChange<HostRoute>;
  /** Absent if unchanged. */
  readonly requestLimits?: RequestLimits;
  /** Absent if unchanged. */
  readonly tenants?: ListChange<Tenant>;
  /** Absent if unchanged. */
  readonly evacuated?: readonly DataCentre[];
  readonly leaving: ListChange<LeavingServer>;
  readonly controls: ListChange<ControlPeer>;
  /** Ends of former views that are still unsettled at the receiver. */
  readonly settled: readonly {
    readonly epoch: number;
    readonly ended: number;
  }[];
  readonly view?: {
    readonly epoch: number;
    readonly began: number;
    readonly entries: ListChange<Entry>;
    /**
     * Newest first. Absent if the receiver has the view just before this one,
     * which then becomes a former view.
     */
    readonly former?: readonly FormerViewChange[];
  };
}

export const EMPTY_CONFIGURATION: Configuration = {
  document: EMPTY_DOCUMENT,
  view: EMPTY_VIEW,
  formerViews: [],
  stops: [],
  leaving: [],
  controls: [],
  version: 0,
};

/** How long former views are kept: the claim window plus clock skew. */
const FORMER_VIEW_RETENTION_MS = 12 * 60_000;

/**
 * The configuration for entries: without the teams' credentials and the owners
 * of sections, which only control needs.
 */
export function withoutCredentials(
  configuration: Configuration,
): Configuration {
  const document = { ...configuration.document, teams: [], owners: {} };
  return { ...configuration, document };
}

/** Computes the change that leads from one configuration to another. */
export function diffConfigurations(
  from: Configuration,
  to: Configuration,
): ConfigurationChange {
  const regionsDiffer = !isEqualJson(
    from.document.regions,
    to.document.regions,
  );
  return {
    from: from.version,
    to: to.version,
    revision: to.document.revision,
    clockSkewMs: to.document.clockSkewMs,
    ...(regionsDiffer && { regions: to.document.regions }),
    services: diffList(from.document.services, to.document.services, byName),
    plannedStops: diffList(from.document.stops, to.document.stops, byName),
    stops: diffList(from.stops, to.stops, byStop),
    hostRoutes: diffList(
      from.document.hostRoutes,
      to.document.hostRoutes,
      byName,
    ),
    ...(!isEqualJson(
      from.document.requestLimits,
      to.document.requestLimits,
    ) && {
      requestLimits: to.document.requestLimits,
    }),
    ...diffTenants(from.document.tenants, to.document.tenants),
    ...diffEvacuated(from.document.evacuated, to.document.evacuated),
    leaving: diffList(from.leaving, to.leaving, byId),
    controls: diffList(from.controls, to.controls, byId),
    settled: diffSettledViews(from, to),
    ...(from.view.epoch !== to.view.epoch && { view: diffView(from, to) }),
  };
}

/** Applies a change; undefined if it is for another version. */
export function applyChange(
  configuration: Configuration,
  change: ConfigurationChange,
): Configuration | undefined {
  const base = change.from === 0 ? EMPTY_CONFIGURATION : configuration;
  if (base.version !== change.from) return undefined;
  const { document } = base;
  return {
    version: change.to,
    document: {
      ...document,
      revision: change.revision,
      clockSkewMs: change.clockSkewMs,
      regions: change.regions ?? document.regions,
      services: applyList(document.services, change.services, byName),
      stops: applyList(document.stops, change.plannedStops, byName),
      hostRoutes: applyList(document.hostRoutes, change.hostRoutes, byName),
      ...(change.requestLimits && { requestLimits: change.requestLimits }),
      ...(change.tenants && {
        tenants: applyList(document.tenants ?? [], change.tenants, byName),
      }),
      ...(change.evacuated && { evacuated: change.evacuated }),
    },
    stops: applyList(base.stops, change.stops, byStop),
    leaving: applyList(base.leaving, change.leaving, byId),
    controls: applyList(base.controls, change.controls, byId),
    ...applySettledEnds(applyView(base, change.view), change.settled),
  };
}

function diffTenants(
  from: readonly Tenant[] | undefined,
  to: readonly Tenant[] | undefined,
): Pick<ConfigurationChange, "tenants"> {
  if (to === undefined || from === to) return {};
  const tenants = diffList(from ?? [], to, byName);
  const { changed, removed } = tenants;
  // An empty list says that requests need keys from now on.
  const isUnchanged = changed.length === 0 && removed.length === 0;
  return from !== undefined && isUnchanged ? {} : { tenants };
}

function diffEvacuated(
  from: readonly DataCentre[] = [],
  to: readonly DataCentre[] = [],
): Pick<ConfigurationChange, "evacuated"> {
  return isEqualJson(from, to) ? {} : { evacuated: to };
}

function diffView(from: Configuration, to: Configuration) {
  const { epoch, began } = to.view;
  const entries = diffList(from.view.entries, to.view.entries, byId);
  if (from.version > 0 && epoch === from.view.epoch + 1) {
    return { epoch, began, entries };
  }
  return { epoch, began, entries, former: diffFormerViews(to) };
}

function diffSettledViews(from: Configuration, to: Configuration) {
  const knownEnds = new Map(from.formerViews.map((v) => [v.epoch, v.ended]));
  return to.formerViews
    .filter(({ epoch, ended }) => ended !== (knownEnds.get(epoch) ?? UNSETTLED))
    .map(({ epoch, ended }) => ({ epoch, ended }));
}

function applySettledEnds(
  views: Pick<Configuration, "view" | "formerViews">,
  settled: ConfigurationChange["settled"],
): Pick<Configuration, "view" | "formerViews"> {
  if (settled.length === 0) return views;
  const endsByEpoch = new Map(
    settled.map(({ epoch, ended }) => [epoch, ended]),
  );
  const formerViews = views.formerViews.map((view) => {
    const ended = endsByEpoch.get(view.epoch);
    return ended === undefined ? view : { ...view, ended };
  });
  return { ...views, formerViews };
}

function diffFormerViews(configuration: Configuration): FormerViewChange[] {
  let later: View = configuration.view;
  return configuration.formerViews.toReversed().map((view) => {
    const entries = diffList(later.entries, view.entries, byId);
    later = view;
    return {
      epoch: view.epoch,
      began: view.began,
      ended: view.ended,
      entries,
    };
  });
}

function applyView(
  base: Configuration,
  change: ConfigurationChange["view"],
): Pick<Configuration, "view" | "formerViews"> {
  if (change === undefined) {
    return { view: base.view, formerViews: base.formerViews };
  }
  const view: View = {
    epoch: change.epoch,
    began: change.began,
    entries: applyList(base.view.entries, change.entries, byId),
  };
  if (change.former) {
    return { view, formerViews: applyViewSteps(view, change.former) };
  }
  const ended: FormerView = { ...base.view, ended: UNSETTLED };
  const oldestEndKept = change.began - FORMER_VIEW_RETENTION_MS;
  const formerViews = [...base.formerViews, ended].filter(
    (former) => former.ended >= oldestEndKept && former.epoch > 0,
  );
  return { view, formerViews };
}

function applyViewSteps(
  view: View,
  steps: readonly FormerViewChange[],
): FormerView[] {
  let later = view;
  const views = steps.map((step) => {
    const entries = applyList(later.entries, step.entries, byId);
    const { epoch, began, ended } = step;
    const former: FormerView = { epoch, began, ended, entries };
    later = former;
    return former;
  });
  return views.reverse();
}

function diffList<T>(
  from: readonly T[],
  to: readonly T[],
  key: (item: T) => string,
): ListChange<T> {
  const before = new Map(from.map((item) => [key(item), item]));
  const after = new Set(to.map(key));
  return {
    changed: to.filter((item) => !isEqualJson(before.get(key(item)), item)),
    removed: from.map(key).filter((name) => !after.has(name)),
  };
}

function applyList<T>(
  list: readonly T[],
  change: ListChange<T>,
  key: (item: T) => string,
): readonly T[] {
  if (change.changed.length === 0 && change.removed.length === 0) return list;
  const items = new Map(list.map((item) => [key(item), item]));
  for (const name of change.removed) items.delete(name);
  for (const item of change.changed) items.set(key(item), item);
  // No decision depends on the order, but it must be equal on every host.
  return [...items.entries()]
    .sort(([a], [b]) => (a < b ? -1 : 1))
    .map(([, item]) => item);
}

function isEqualJson(a: unknown, b: unknown): boolean {
  return a === b || JSON.stringify(a) === JSON.stringify(b);
}

function byName(item: { readonly name: string }): string {
  return item.name;
}

function byId(item: { readonly id: string }): string {
  return item.id;
}

function byStop(item: StopProgress): string {
  return item.stop;
}
