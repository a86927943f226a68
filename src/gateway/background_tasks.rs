//! Starts and stops the tasks that run for the whole lifetime of the gateway.

use tokio::task::{JoinHandle, spawn_local};

/// Handles of the background tasks, in start order.
#[derive(Default)]
pub(super) struct BackgroundTasks {
    handles: Vec<JoinHandle<()>>,
}

impl BackgroundTasks {
    /// Spawns a task on the current `LocalSet`.
    pub(super) fn start(&mut self, task: impl Future<Output = ()> + 'static) {
        self.handles.push(spawn_local(task));
    }

    /// Aborts the tasks one at a time in reverse start order. The sources of events (discovery, reload) thus
    /// end before the timers and gossip, which the other tasks may still depend on.
    pub(super) async fn stop(self) {
        for handle in self.handles.into_iter().rev() {
            handle.abort();
            // An aborted task returns a cancellation error, which is expected here.
            let _ = handle.await;
        }
    }
}
