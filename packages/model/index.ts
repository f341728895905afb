/**
 * Types of the domain that all packages share, and the interfaces to clock and
 * random numbers.
 *
 * @module
 */
export * from "./backend_servers.ts";
export * from "./backoff.ts";
export * from "./build.ts";
export * from "./calls.ts";
export * from "./clock.ts";
export * from "./document.ts";
export * from "./headers.ts";
export * from "./host_routes.ts";
export * from "./hosts.ts";
export * from "./large_hosts.ts";
export * from "./message_values.ts";
export * from "./outcomes.ts";
export * from "./randomness.ts";
export * from "./rendezvous.ts";
export * from "./response_bounds.ts";
export * from "./server_headers.ts";
export * from "./server_start.ts";
export * from "./tenants.ts";
