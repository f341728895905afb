/**
 * Tenants and their keys: whose request it is, and whether an entry may act on its
 * configuration as the current one.
 *
 * @module
 */

export * from "./configuration_lease.ts";
export * from "./key_access.ts";
export * from "./tenant_directory.ts";
