//! The protocol of batches: which frames may come when, and which of them are answered.
//!
//! Only the end of a batch is answered: with the actions of all its events, in the order of the events, and with the
//! number of the batch.

use crate::errors::FrameError;
use crate::frames::{BeginBatch, EndpointEntry, EndpointsChanged, Frame};
use crate::instances::Instances;
use crate::replies::Reply;
use crate::translation::{self, InstanceEvent};
use marlshelf::{Endpoint, Event, Timestamp};
use std::collections::BTreeMap;

/// All instances of this process, and the batch that is being read.
#[derive(Default)]
pub struct Host {
    instances: Instances,
    /// The endpoint lists that frames refer to, by number.
    endpoint_lists: BTreeMap<u32, Vec<EndpointEntry>>,
    batch: Option<Batch>,
}

/// A batch that has begun and not yet ended.
struct Batch {
    begin: BeginBatch,
    /// The lines of the reply so far.
    output: Vec<u8>,
}

impl Host {
    /// Whether every batch that has begun has been answered.
    pub fn is_between_batches(&self) -> bool {
        self.batch.is_none()
    }

    /// Handles one line of the input. Returns the reply to the batch if the line ends it.
    ///
    /// After an error the host must not be used further, since the batch has been handled in part.
    pub fn handle_line(&mut self, line: &str) -> Result<Option<Vec<u8>>, FrameError> {
        let frame: Frame = serde_json::from_str(line).map_err(FrameError::Malformed)?;
        let begins_batch = matches!(frame, Frame::BeginBatch(_));
        if !begins_batch && self.is_between_batches() {
            return Err(FrameError::OutsideBatch);
        }
        match frame {
            Frame::BeginBatch(begin) => self.begin_batch(begin)?,
            Frame::EndBatch => return self.end_batch().map(Some),
            Frame::EndpointList(list) => {
                self.endpoint_lists.insert(list.number, list.entries);
            }
            Frame::StartInstance(frame) => self.instances.start(frame)?,
            Frame::StopInstance(frame) => self.instances.stop(&frame.instance),
            Frame::StreamStarted(frame) | Frame::CounterAnswered(frame) => {
                self.instances.require(&frame.instance)?;
            }
            Frame::EndpointsChanged(frame) => self.change_endpoints(frame)?,
            Frame::RequestReceived(frame) => self.handle_event(frame.into())?,
            Frame::HealthChecked(frame) => self.handle_event(frame.into())?,
            Frame::AttemptFinished(frame) => self.handle_event(frame.into())?,
            Frame::ClientDisconnected(frame) => self.handle_event(frame.into())?,
            Frame::GossipReceived(frame) => self.handle_event(frame.into())?,
            Frame::TimerFired(frame) => self.handle_event(frame.into())?,
        }
        Ok(None)
    }

    fn begin_batch(&mut self, begin: BeginBatch) -> Result<(), FrameError> {
        if self.batch.is_some() {
            return Err(FrameError::NestedBatch);
        }
        let output = Vec::new();
        self.batch = Some(Batch { begin, output });
        Ok(())
    }

    fn end_batch(&mut self) -> Result<Vec<u8>, FrameError> {
        let Batch { begin, mut output } = self.batch.take().ok_or(FrameError::OutsideBatch)?;
        let number = begin.number;
        Reply::EndBatch { number }.append_to(&mut output)?;
        Ok(output)
    }

    fn change_endpoints(&mut self, frame: EndpointsChanged) -> Result<(), FrameError> {
        let Some(kind) = translation::endpoint_list_kind(frame.form) else {
            return self.instances.require(&frame.instance);
        };
        let entries = self
            .endpoint_lists
            .get(&frame.list)
            .ok_or(FrameError::UnknownEndpointList(frame.list))?;
        let endpoints = entries.iter().map(Endpoint::from).collect();
        let event = Event::EndpointsChanged { kind, endpoints };
        self.handle_event(InstanceEvent::new(frame.instance, event))
    }

    /// Hands an event to its instance at the time of the batch.
    fn handle_event(&mut self, event: InstanceEvent) -> Result<(), FrameError> {
        let batch = self.batch.as_mut().ok_or(FrameError::OutsideBatch)?;
        let now = Timestamp(batch.begin.now_ms);
        self.instances.handle_event(event, now, &mut batch.output)
    }
}
