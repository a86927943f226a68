//! The batch protocol: the permitted order of frames, and the reply to each batch.
//!
//! The reply to a batch consists of the actions of all its events, in the order of the events, followed by
//! the batch number. It is written at the end of the batch.

use crate::errors::FrameError;
use crate::frames::{BeginBatch, EndpointEntry, EndpointsChanged, Frame};
use crate::instances::Instances;
use crate::replies::Reply;
use crate::translation::{self, InstanceEvent};
use marlshelf::{Endpoint, Event, Timestamp};
use std::collections::BTreeMap;

/// The instances of this process, the endpoint lists and the current batch.
#[derive(Default)]
pub struct Host {
    instances: Instances,
    /// The received endpoint lists, by the number that frames refer to.
    endpoint_lists: BTreeMap<u32, Vec<EndpointEntry>>,
    batch: Option<Batch>,
}

/// A batch that has begun and has not ended.
struct Batch {
    begin: BeginBatch,
    /// The lines of the reply so far, in JSON.
    output: Vec<u8>,
}

impl Host {
    /// Returns whether no batch is open.
    pub fn is_between_batches(&self) -> bool {
        self.batch.is_none()
    }

    /// Handles one line of the input. Returns the reply if the line ends a batch.
    ///
    /// After an error the host must not be used any more, because part of the batch has been handled.
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
                self.instances.check_exists(&frame.instance)?;
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
            return self.instances.check_exists(&frame.instance);
        };
        let entries = self
            .endpoint_lists
            .get(&frame.list)
            .ok_or(FrameError::UnknownEndpointList(frame.list))?;
        let endpoints = entries.iter().map(Endpoint::from).collect();
        let event = Event::EndpointsChanged { kind, endpoints };
        self.handle_event(InstanceEvent::new(frame.instance, event))
    }

    /// Passes an event to its instance, at the time of the batch.
    fn handle_event(&mut self, event: InstanceEvent) -> Result<(), FrameError> {
        let batch = self.batch.as_mut().ok_or(FrameError::OutsideBatch)?;
        let now = Timestamp(batch.begin.now_ms);
        self.instances.handle_event(event, now, &mut batch.output)
    }
}
