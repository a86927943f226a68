//! The gateway instances of this process, which share no state.

use crate::errors::FrameError;
use crate::frames::{InstanceName, StartInstance};
use crate::translation::{self, InstanceEvent};
use marlshelf::{DecisionEngine, Timestamp};
use std::collections::HashMap;

/// The running instances, by name.
#[derive(Default)]
pub struct Instances {
    engines: HashMap<InstanceName, DecisionEngine>,
}

impl Instances {
    /// Starts an instance, replacing any instance with the same name.
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

    /// Stops an instance and discards its state. Does nothing if it does not exist.
    pub fn stop(&mut self, instance: &InstanceName) {
        self.engines.remove(instance);
    }

    /// Returns an error if the instance does not exist. Used for frames that do not affect decisions.
    pub fn check_exists(&self, instance: &InstanceName) -> Result<(), FrameError> {
        if self.engines.contains_key(instance) {
            Ok(())
        } else {
            Err(FrameError::UnknownInstance(instance.clone()))
        }
    }

    /// Passes an event to its instance and appends the resulting actions to the reply.
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
