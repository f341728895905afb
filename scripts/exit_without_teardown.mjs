// Preloaded into test processes. Once the event loop is empty and all `exit`
// listeners have run, ends the process without the teardown of Node 20, which
// now and then loops forever in CleanupHandles. A handle that a test leaves
// open still keeps the process running.
process.once("beforeExit", () => {
  process.on("exit", () => process.exit());
});
