import type { BackendServer, Clock } from "#model";
import {
  type ControlMetrics,
  type InputCall,
  LineLimiter,
  type Logger,
} from "#telemetry";
import { registrationChange } from "./registration_change.ts";

/** Longest id of a server in a log line, in characters. */
const MAX_LOGGED_ID_LENGTH = 256;

/** An input that was refused, or that changed nothing. */
export interface RefusedInput {
  readonly call: InputCall;
  /** One of a fixed set of names, since it is a label of a metric. */
  readonly reason: string;
  readonly message: string;
  readonly server: string;
  /** The start that the input names, as far as it names one. */
  readonly incarnation?: number | undefined;
  /** Further fields of the line. */
  readonly fields?: object;
}

/**
 * Logs and counts what is announced at a control host, so that the logs tell
 * who brought a record that keeps a server out of use.
 */
export class AnnouncementLog {
  readonly #clock: Clock;
  readonly #logger: Logger;
  readonly #metrics: Pick<ControlMetrics, "recordRefusedInput">;
  readonly #limiter = new LineLimiter();

  constructor(options: {
    clock: Clock;
    logger: Logger;
    metrics: Pick<ControlMetrics, "recordRefusedInput">;
  }) {
    this.#clock = options.clock;
    this.#logger = options.logger;
    this.#metrics = options.metrics;
  }

  /** Logs an accepted announcement, unless it only renews the lease. */
  accepted(
    server: BackendServer,
    former: {
      readonly record: BackendServer | undefined;
      /** Other services that have a server of this id. */
      readonly otherServices: readonly string[];
    },
  ): void {
    const change = registrationChange(former.record, server);
    if (!change) return;
    const omitted = this.#admit(`${change} ${server.id}`);
    if (omitted === undefined) return;
    const { otherServices } = former;
    this.#logger.info(`backend server ${change}`, {
      ...describe(server),
      bornAgoMs: this.#ageMs(server.incarnation),
      ...(former.record && { former: describe(former.record) }),
      ...(otherServices.length > 0 && { otherServices }),
      ...(omitted > 0 && { omitted }),
    });
  }

  /** Logs and counts an input that was refused or changed nothing. */
  refused(input: RefusedInput): void {
    const { call, reason, message, incarnation, fields } = input;
    this.#metrics.recordRefusedInput(call, reason);
    const server = input.server.slice(0, MAX_LOGGED_ID_LENGTH);
    const omitted = this.#admit(`${call} ${reason} ${server}`);
    if (omitted === undefined) return;
    const level = reason === "malformed" ? "warn" : "info";
    this.#logger[level](message, {
      server,
      ...(incarnation !== undefined && {
        incarnation,
        bornAgoMs: this.#ageMs(incarnation),
      }),
      ...fields,
      ...(omitted > 0 && { omitted }),
    });
  }

  /** Logs a leave that a majority has confirmed. */
  leaveRecorded(leave: {
    readonly id: string;
    readonly incarnation: number;
    /** Whether the input named the incarnation. */
    readonly isNamed: boolean;
  }): void {
    const { id, incarnation, isNamed } = leave;
    this.#logger.info("leave recorded", {
      server: id,
      incarnation,
      isNamed,
      bornAgoMs: this.#ageMs(incarnation),
    });
  }

  #admit(key: string): number | undefined {
    return this.#limiter.admit(key, this.#clock.now());
  }

  /** Time since a start; negative if the start lies in the future. */
  #ageMs(incarnation: number): number {
    return Math.floor(this.#clock.wallTime()) - incarnation;
  }
}

/** What identifies a record and decides who gets its calls. */
function describe(server: BackendServer) {
  const { id, service, incarnation, sequence, address, slots } = server;
  const { dataCentre } = server;
  return {
    server: id,
    service,
    incarnation,
    sequence,
    address: `${address.host}:${address.port}`,
    dataCentre,
    slots,
  };
}
