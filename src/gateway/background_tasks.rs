//! The tasks that run as long as the gateway does.

use tokio::task::{JoinHandle, spawn_local};

/// The background tasks of a gateway, in the order in which they were started.
#[derive(Default)]
pub(super) struct BackgroundTasks {
    handles: Vec<JoinHandle<()>>,
}

impl BackgroundTasks {
    /// Starts a task on the current `LocalSet`.
    pub(super) fn start(&mut self, task: impl Future<Output = ()> + 'static) {
        self.handles.push(spawn_local(task));
    }

    /// Stops the tasks one after another, the last one started first: what feeds events into the gateway ends
    /// before the timers and gossip, which other tasks may still rely on.
    pub(super) async fn stop(self) {
        for handle in self.handles.into_iter().rev() {
            handle.abort();
            // How the task ended does not matter any more: an aborted task reports that it was cancelled.
            let _ = handle.await;
        }
    }
}
