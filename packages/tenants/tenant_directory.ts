import type { Tenant } from "#model";

/** Finds the tenant that holds a key, in one look-up whatever their number. */
export class TenantDirectory {
  #byKeyHash: ReadonlyMap<string, Tenant> = new Map();

  configure(tenants: readonly Tenant[]): void {
    this.#byKeyHash = new Map(
      tenants.flatMap((tenant) =>
        tenant.keyHashes.map((hash) => [hash, tenant] as const),
      ),
    );
  }

  /** The tenant that holds the key with this hash. */
  find(keyHash: string): Tenant | undefined {
    return this.#byKeyHash.get(keyHash);
  }
}
