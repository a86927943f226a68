//! The gateway instances of this process. They share nothing with each other.

use crate::errors::FrameError;
use crate::frames::{InstanceName, StartInstance};
use crate::translation::{self, InstanceEvent};
use marlshelf::{DecisionEngine, Timestamp};
use std::collections::HashMap;

/// The instances that have been started and not yet stopped.
#[derive(Default)]
pub struct Instances {
    engines: HashMap<InstanceName, DecisionEngine>,
}

impl Instances {
    /// Starts an instance. One that has this name already is replaced.
    pub fn start(&mut self, frame: StartInstance) -> Result<(), FrameError> {
        match DecisionEngine::new(frame.settings.settings(), frame.seed) {
            Ok(engine) => {
                self.engines.insert(frame.instance, engine);
                Ok(())
            }
            Err(error) => Err(FrameError::Settings {
                instance: frame.instance,
                error,
            }),
        }
    }

    /// Stops an instance and discards its state. It need not exist.
    pub fn stop(&mut self, instance: &InstanceName) {
        self.engines.remove(instance);
    }

    /// Checks that an instance exists, for frames that its decisions do not depend on.
    pub fn require(&self, instance: &InstanceName) -> Result<(), FrameError> {
        if self.engines.contains_key(instance) {
            Ok(())
        } else {
            Err(FrameError::UnknownInstance(instance.clone()))
        }
    }

    /// Hands an event to its instance and appends the resulting actions to the output of the batch.
    pub fn handle_event(
        &mut self,
        InstanceEvent { instance, event }: InstanceEvent,
        now: Timestamp,
        output: &mut Vec<u8>,
    ) -> Result<(), FrameError> {
        let Some(engine) = self.engines.get_mut(&instance) else {
            return Err(FrameError::UnknownInstance(instance));
        };
        for action in engine.handle_event(now, event) {
            translation::reply(&instance, &action).append_to(output)?;
        }
        Ok(())
    }
}
