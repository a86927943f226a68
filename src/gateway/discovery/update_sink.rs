//! Where the calls to discovery deliver what they receive.

use super::EndpointUpdate;
use super::call::CallNumber;
use std::cell::{Cell, RefCell};

/// Passes updates on and remembers the list's revision. Of several calls the first one to deliver something
/// is the source from then on, until a later call delivers something. An earlier call may have an older list, so
/// that what it delivers is ignored.
pub(super) struct UpdateSink<F> {
    on_update: RefCell<F>,
    revision: Cell<Option<u64>>,
    source: Cell<CallNumber>,
    has_received: Cell<bool>,
}

impl<F: FnMut(EndpointUpdate)> UpdateSink<F> {
    /// Creates a sink. `revision` is that of the list in use; `None` if a snapshot must be fetched first.
    pub fn new(on_update: F, revision: Option<u64>) -> UpdateSink<F> {
        UpdateSink {
            on_update: RefCell::new(on_update),
            revision: Cell::new(revision),
            source: Cell::default(),
            has_received: Cell::new(false),
        }
    }

    /// The revision from which a watch continues; `None` if there is no list yet.
    pub fn revision(&self) -> Option<u64> {
        self.revision.get()
    }

    /// The call whose updates are in use.
    pub fn source(&self) -> CallNumber {
        self.source.get()
    }

    /// Whether something was received since the last query.
    pub fn take_received(&self) -> bool {
        self.has_received.replace(false)
    }

    /// Records a keep-alive of a call.
    pub fn keep_alive(&self, call: CallNumber) {
        self.accept(call);
    }

    /// Passes on an update of a call.
    pub fn update(&self, call: CallNumber, update: EndpointUpdate) {
        if self.accept(call) {
            self.revision.set(Some(update.revision));
            (self.on_update.borrow_mut())(update);
        }
    }

    fn accept(&self, call: CallNumber) -> bool {
        let is_current = call >= self.source.get();
        if is_current {
            self.source.set(call);
            self.has_received.set(true);
        }
        is_current
    }
}
