import { err, ok, type Result } from "neverthrow";
import type {
  ConsensusStorage,
  StorageFault,
  StorageWrite,
  StoredState,
} from "#agreement";
import { StoredLog } from "./stored_log.ts";

/** An in-memory disk for tests; a crash may lose writes that are not synced. */
export class MemoryDisk {
  #synced: StoredLog;
  #staged: StorageWrite[] = [];

  constructor(identity: string) {
    this.#synced = new StoredLog(identity);
  }

  stage(writes: readonly StorageWrite[]): void {
    this.#staged.push(...writes);
  }

  sync(): void {
    for (const write of this.#staged) this.#synced.apply(write);
    this.#staged = [];
  }

  /**
   * Syncs the first `kept` staged writes and loses the others, as a disk may.
   */
  crash(kept = 0): void {
    this.#staged = this.#staged.slice(0, kept);
    this.sync();
  }

  get stagedWrites(): number {
    return this.#staged.length;
  }

  state(): StoredState {
    return this.#synced.copy().state();
  }
}

/** In-memory storage for tests, which can make writes fail. */
export class MemoryStorage implements ConsensusStorage {
  readonly disk: MemoryDisk;
  /** If set, all writes fail with this fault. */
  failure: StorageFault | undefined;

  constructor(disk: MemoryDisk) {
    this.disk = disk;
  }

  async load(): Promise<Result<StoredState, StorageFault>> {
    return ok(this.disk.state());
  }

  async write(
    writes: readonly StorageWrite[],
  ): Promise<Result<void, StorageFault>> {
    if (this.failure) return err(this.failure);
    this.disk.stage(writes);
    await Promise.resolve();
    this.disk.sync();
    return ok(undefined);
  }

  async close(): Promise<void> {}
}
