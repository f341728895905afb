import { err, ok, type Result } from "neverthrow";
import {
  type CallAccess,
  type CallFault,
  callFault,
  type Tenant,
} from "#model";
import { ConfigurationLease, type Moment } from "./configuration_lease.ts";
import { TenantDirectory } from "./tenant_directory.ts";

/**
 * Age of control's confirmation up to which an unknown key is refused for good. A
 * key that was added before is known by then.
 */
const CURRENT_MS = 2_000;
/** Time after which to retry where the configuration is not known to be current. */
const RETRY_AFTER_MS = 500;

export interface KeyAccessOptions {
  /**
   * Time after the acknowledgement of a key's removal at which its requests run
   * nowhere, in milliseconds; absent where no such bound is set.
   */
  readonly revokeMs?: number | undefined;
  /** Hash of a key, as the configuration has it. */
  readonly hashKey: (key: string) => string;
}

/** The access of a call and the tenant that it belongs to. */
export interface Authorization {
  readonly access: CallAccess;
  readonly tenant?: Tenant;
}

/**
 * Decides whether a request may run where requests need a tenant's key, when it
 * arrives and again before it is sent to a server.
 */
export class KeyAccess {
  readonly #directory = new TenantDirectory();
  readonly #lease: ConfigurationLease;
  readonly #bindsLease: boolean;
  readonly #hashKey: (key: string) => string;
  #tenants: readonly Tenant[] | undefined;

  constructor({ revokeMs, hashKey }: KeyAccessOptions) {
    this.#lease = new ConfigurationLease(revokeMs ?? CURRENT_MS);
    this.#bindsLease = revokeMs !== undefined;
    this.#hashKey = hashKey;
  }

  /** Whether requests need a key at all. */
  get isRequired(): boolean {
    return this.#tenants !== undefined;
  }

  configure(tenants: readonly Tenant[] | undefined): void {
    if (this.#tenants === tenants) return;
    this.#tenants = tenants;
    this.#directory.configure(tenants ?? []);
  }

  /** Records that control has confirmed the configuration. */
  confirm(askedAt: Moment): void {
    this.#lease.confirm(askedAt);
  }

  /** Whether callers should use other entries, as this one may refuse them soon. */
  isEnding(now: Moment): boolean {
    return this.isRequired && this.#bindsLease && this.#lease.isEnding(now);
  }

  /** Whether requests with keys may be sent to servers. */
  mayUseKeys(now: Moment): boolean {
    return !this.#bindsLease || this.#lease.isValid(now);
  }

  /** Milliseconds since control's last confirmed question. */
  leaseAgeMs(now: Moment): number {
    return this.#lease.ageMs(now);
  }

  /** The access of a new request; undefined if none is needed. */
  authorize(
    request: { readonly key: string | undefined; readonly isPublic: boolean },
    now: Moment,
  ): Result<Authorization | undefined, CallFault> {
    if (!this.isRequired) return ok(undefined);
    if (request.isPublic) return ok({ access: {} });
    if (!this.mayUseKeys(now)) return err(notCurrent());
    const keyHash =
      request.key === undefined ? undefined : this.#hashKey(request.key);
    const tenant = keyHash && this.#directory.find(keyHash);
    if (!tenant) return err(this.#unknownKey(request.key, now));
    return ok({ access: { tenant: tenant.name, keyHash }, tenant });
  }

  /** Whether a call that was authorized may be sent to a server now. */
  recheck(
    access: CallAccess | undefined,
    now: Moment,
  ): Result<void, CallFault> {
    // The first tenants came while the call waited: it was never authorized.
    if (!access) return this.isRequired ? err(notCurrent()) : ok(undefined);
    const { keyHash, tenant } = access;
    if (keyHash === undefined) return ok(undefined);
    if (!this.mayUseKeys(now)) return err(notCurrent());
    const holder = this.#directory.find(keyHash);
    if (holder?.name === tenant) return ok(undefined);
    // A key that was moved is valid, and its next request has the new tenant.
    if (holder || this.#lease.ageMs(now) > CURRENT_MS) return err(notCurrent());
    return err(callFault("unauthorized", { detail: "the key was removed" }));
  }

  #unknownKey(key: string | undefined, now: Moment): CallFault {
    if (this.#lease.ageMs(now) > CURRENT_MS) return notCurrent();
    const detail =
      key === undefined ? "the request has no key" : "no tenant has this key";
    return callFault("unauthorized", { detail });
  }
}

function notCurrent(): CallFault {
  const detail = "the configuration is not known to be current";
  return callFault("not_ready", { detail, retryAfterMs: RETRY_AFTER_MS });
}
