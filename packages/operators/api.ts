import type { IncomingMessage, ServerResponse } from "node:http";
import { err, ok, type Result } from "neverthrow";
import { match, P } from "ts-pattern";
import { type DocumentFault, parseSection } from "#document";
import type { Clock } from "#model";
import type { Actor, PutReply, PutSection } from "#registry";
import { authenticate, readCredential } from "./authentication.ts";
import {
  logError,
  OPERATOR_ERRORS,
  type OperatorError,
  operatorError,
} from "./errors.ts";
import type {
  CommandLog,
  LiveStatus,
  MemberChange,
  Members,
  RegistryReader,
  Rollout,
} from "./ports.ts";
import {
  presentDocument,
  presentHost,
  presentSection,
  presentStatus,
  presentStops,
  toPublished,
} from "./presentation.ts";
import {
  parsePeerAddress,
  type RequestTarget,
  readChangeId,
  readRevision,
  readTarget,
  readText,
} from "./requests.ts";

/** Dependencies and settings of the operators' API. */
export interface OperatorApiOptions {
  readonly log: CommandLog;
  readonly registry: RegistryReader;
  readonly live: LiveStatus;
  readonly rollout: Rollout;
  readonly members: Members;
  readonly clock: Clock;
  /** SHA-256 of the credential that owns `system`, in hexadecimal. */
  readonly systemCredentialSha256: string;
  readonly bodyMaxBytes: number;
  /** Called with unexpected exceptions, which are answered with 500. */
  readonly onFailure?: (error: unknown) => void;
}

/**
 * Faults listed in one response; a text of 512 KiB can have tens of thousands.
 */
const MAX_LISTED_FAULTS = 1_000;

type ApiResult = Promise<Result<object, OperatorError>>;

/**
 * The HTTP API for operators; error responses have a code of `OPERATOR_ERRORS`.
 */
export class OperatorApi {
  readonly #options: OperatorApiOptions;

  constructor(options: OperatorApiOptions) {
    this.#options = options;
  }

  /** Request handler for Node's `http` server. */
  readonly handle = (request: IncomingMessage, response: ServerResponse) =>
    this.#handleRequest(request)
      .catch((error: unknown) => {
        if (!request.destroyed) this.#options.onFailure?.(error);
        const message = "the request failed; the control host's log has more";
        return err(operatorError("internal_error", message));
      })
      .then((result) => writeResponse(response, result));

  async #handleRequest(request: IncomingMessage): ApiResult {
    const target = readTarget(request.url ?? "");
    if (target.isErr()) return err(target.error);
    const actor = await this.#authenticate(request);
    if (actor.isErr()) return err(actor.error);
    const context = { request, actor: actor.value };
    const [version, ...path] = target.value.segments;
    const method = request.method ?? "";
    if (version !== "v1") return err(notFound());
    return match<[string, string[]], ApiResult>([method, path])
      .with(["PUT", ["sections", P.string]], ([, [, name]]) =>
        this.#putSection(name, context),
      )
      .with(["PUT", ["members", P.string]], ([, [, id]]) =>
        this.#addMember(id, context),
      )
      .with(["DELETE", ["members", P.string]], ([, [, id]]) =>
        this.#changeMembers({ type: "remove", id }, context),
      )
      .with(["GET", P.any], () => this.#read(path, target.value))
      .otherwise(async () => err(methodNotAllowed(path)));
  }

  async #authenticate(
    request: IncomingMessage,
  ): Promise<Result<Actor, OperatorError>> {
    const credential = readCredential(request);
    const headers = { "www-authenticate": "Bearer" };
    if (credential === undefined) {
      const message = "the header Authorization: Bearer CREDENTIAL is missing";
      return err(operatorError("unauthenticated", message, { headers }));
    }
    const knownActor = this.#findActor(credential);
    if (knownActor !== undefined) return ok(knownActor);
    // This replica may lag behind the `system` section that has the credential.
    const confirmed = await this.#options.log.confirm();
    if (confirmed.isErr()) return err(logError(confirmed.error.type));
    const actor = this.#findActor(credential);
    if (actor !== undefined) return ok(actor);
    const message = "the credential belongs to no team";
    return err(operatorError("unauthenticated", message, { headers }));
  }

  #findActor(credential: string): Actor | undefined {
    const { registry, systemCredentialSha256: system } = this.#options;
    const { teams } = registry.configuration().document;
    return authenticate(credential, { system, teams });
  }

  async #read(path: readonly string[], { stale }: RequestTarget): ApiResult {
    if (!isReadable(path)) return err(notFound());
    if (!stale) {
      const confirmed = await this.#options.log.confirm();
      if (confirmed.isErr()) return err(logError(confirmed.error.type));
    }
    const answer = await this.#readLocal(path);
    return answer.map((value) => ({ ...value, stale }));
  }

  async #readLocal([kind, name = "", detail]: readonly string[]): ApiResult {
    const { registry, live, members } = this.#options;
    const configuration = registry.configuration();
    switch (kind) {
      case "sections":
        if (name === "") {
          const sections = registry.sections().map((section) => {
            return { ...presentSection(section), text: undefined };
          });
          return ok({ sections });
        }
        return this.#presentSection(name, detail);
      case "document":
        return ok(presentDocument(configuration));
      case "stops":
        return ok({ stops: presentStops(configuration) });
      case "members":
        return ok({ members: toPublished(members.list()) });
      case "servers":
        return ok({ servers: toPublished(await live.servers()) });
      case "hosts":
        return ok({ hosts: (await live.hosts()).map(presentHost) });
      case "status": {
        const liveStatus = { hosts: await live.hosts(), leader: live.leader() };
        return ok(presentStatus(configuration, liveStatus));
      }
      default:
        return err(notFound());
    }
  }

  #presentSection(
    name: string,
    detail: string | undefined,
  ): Result<object, OperatorError> {
    const { registry } = this.#options;
    const section = registry.section(name);
    if (section === undefined) {
      const message = `there is no section ${JSON.stringify(name)}`;
      return err(operatorError("not_found", message));
    }
    if (detail === undefined) return ok(presentSection(section));
    const revisions = registry.history(name).map(presentSection);
    return ok({ section: name, revisions });
  }

  async #putSection(section: string, context: RequestContext): ApiResult {
    const { request, actor } = context;
    const { log, clock, bodyMaxBytes } = this.#options;
    const baseRevision = readRevision(request);
    if (baseRevision.isErr()) return err(baseRevision.error);
    const changeId = readChangeId(request);
    if (changeId.isErr()) return err(changeId.error);
    const text = await readText(request, bodyMaxBytes);
    if (text.isErr()) return err(text.error);
    // Invalid text is refused here so that it never enters the replicated log.
    const parsed = parseSection({ name: section, text: text.value });
    if (parsed.isErr()) return err(invalidDocument(parsed.error, 0));
    const command: PutSection = {
      type: "put_section",
      section,
      text: text.value,
      baseRevision: baseRevision.value,
      changeId: changeId.value,
      actor,
      at: clock.wallTime(),
    };
    const reply = await log.submit(command);
    if (reply.isErr()) return err(logError(reply.error.type));
    return this.#putResult(reply.value as PutReply);
  }

  async #putResult(reply: PutReply): ApiResult {
    switch (reply.type) {
      case "accepted":
        if (!(await this.#options.rollout.inForce(reply.version))) {
          return err(notInForce(reply));
        }
        return ok(toPublished(reply) as object);
      case "conflict": {
        const message = `the section is at revision ${reply.revision}; start from its present text`;
        const { revision, text } = reply;
        const details = { revision, text };
        return err(operatorError("conflict", message, { details }));
      }
      case "forbidden": {
        const { section, owner } = reply;
        const message =
          owner === undefined
            ? `section ${section} has no owner; add it under sections of system`
            : `section ${section} belongs to ${owner}`;
        return err(operatorError("forbidden", message, { details: { owner } }));
      }
      case "invalid":
        return err(invalidDocument(reply.faults, reply.omitted));
      case "change_id_reused": {
        const message = "another change was sent with this change id before";
        return err(operatorError("change_id_reused", message));
      }
      case "unknown_credential": {
        const message = "the credential belongs to no team";
        return err(operatorError("unauthenticated", message));
      }
    }
  }

  async #addMember(id: string, context: RequestContext): ApiResult {
    const text = await readText(context.request, this.#options.bodyMaxBytes);
    if (text.isErr()) return err(text.error);
    const peer = parsePeerAddress(text.value);
    if (peer.isErr()) return err(peer.error);
    return this.#changeMembers({ type: "add", id, peer: peer.value }, context);
  }

  async #changeMembers(
    change: MemberChange,
    { actor }: RequestContext,
  ): ApiResult {
    if (actor.type !== "system") {
      const message = "members are changed with the system credential only";
      return err(operatorError("forbidden", message));
    }
    const { members, log } = this.#options;
    const confirmed = await log.confirm();
    if (confirmed.isErr()) return err(logError(confirmed.error.type));
    if (isAlreadyMade(change, members)) {
      return ok({ members: toPublished(members.list()), changed: false });
    }
    const changed = await members.change(change);
    if (changed.isOk()) {
      return ok({ members: toPublished(members.list()), changed: true });
    }
    const fault = changed.error;
    if (fault.type !== "member_change_refused")
      return err(logError(fault.type));
    return err(operatorError("member_change_refused", fault.reason));
  }
}

interface RequestContext {
  readonly request: IncomingMessage;
  readonly actor: Actor;
}

/** Whether a change of members is already made, as when it is sent again. */
function isAlreadyMade(change: MemberChange, members: Members): boolean {
  const member = members.list().find(({ id }) => id === change.id);
  if (change.type === "remove") return member === undefined;
  const { host, port } = change.peer;
  // A learner is still catching up, and a lost member has to be added again.
  if (member?.role !== "voter") return false;
  const { peer } = member;
  return !peer || (peer.host === host && peer.port === port);
}

const READ_ONLY_KINDS = ["document", "hosts", "servers", "stops", "status"];

function isReadable([kind = "", name, detail, ...rest]: readonly string[]) {
  if (rest.length > 0) return false;
  if (kind === "sections") return detail === undefined || detail === "history";
  return name === undefined && [...READ_ONLY_KINDS, "members"].includes(kind);
}

function notFound(): OperatorError {
  return operatorError("not_found", "there is nothing at this path");
}

function methodNotAllowed([kind = "", name, detail]: readonly string[]) {
  const allow = ["GET"];
  const isSingle = name !== undefined && detail === undefined;
  if (isSingle && kind === "sections") allow.push("PUT");
  if (isSingle && kind === "members") allow.splice(0, 1, "PUT", "DELETE");
  const message = `allowed methods: ${allow.join(", ")}`;
  const headers = { allow: allow.join(", ") };
  return operatorError("method_not_allowed", message, { headers });
}

function invalidDocument(
  faults: readonly DocumentFault[],
  omitted: number,
): OperatorError {
  const message = "the document is invalid";
  const listed = faults.slice(0, MAX_LISTED_FAULTS);
  const omittedCount = omitted + faults.length - listed.length;
  const details = { faults: listed, omitted: omittedCount };
  return operatorError("invalid_document", message, { details });
}

function notInForce(reply: Extract<PutReply, { type: "accepted" }>) {
  const message =
    "the change is in the log but not yet in force at a majority of entries; send it again with the same change id to wait";
  const details = toPublished(reply) as Record<string, unknown>;
  const headers = { "retry-after": "1" };
  return operatorError("not_in_force", message, { details, headers });
}

/** Writes a result or an error as a JSON response. */
export function writeResponse(
  response: ServerResponse,
  result: Result<object, OperatorError>,
): void {
  if (response.destroyed || response.headersSent) return;
  const { status, headers, body } = result.match(
    (value) => ({ status: 200, headers: {}, body: value }),
    ({ code, message, details, headers }) => ({
      status: OPERATOR_ERRORS[code],
      headers: { ...headers, "mangobank-error": code },
      body: { error: { ...details, code, message } },
    }),
  );
  const text = `${JSON.stringify(body)}\n`;
  response.writeHead(status, {
    "content-type": "application/json; charset=utf-8",
    "content-length": Buffer.byteLength(text),
    "cache-control": "no-store",
    ...headers,
  });
  response.end(text);
}
