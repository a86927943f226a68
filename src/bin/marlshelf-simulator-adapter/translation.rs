//! Translation between protocol frames and the library's events and actions.

use crate::frames::{
    AttemptFinished, ClientDisconnected, EndpointEntry, EndpointListForm, EntryState,
    GossipReceived, HealthChecked, InstanceName, LoadReportFrame, RETRY_FLAG, RequestReceived,
    Status, TimerFired,
};
use crate::replies::Reply;
use marlshelf::{
    Action, AttemptOutcome, AttemptResult, CellId, ClassIndex, Endpoint, EndpointListKind,
    EndpointState, Event, GatewayId, HardwareId, LoadReport, Milliseconds, PlanIndex, Request,
    RequestId, TimerToken, Timestamp, Tokens, ZoneId,
};

/// An event and the instance that handles it.
pub struct InstanceEvent {
    pub instance: InstanceName,
    pub event: Event,
}

impl InstanceEvent {
    pub fn new(instance: InstanceName, event: Event) -> InstanceEvent {
        InstanceEvent { instance, event }
    }
}

/// Returns which endpoints a discovery response contains, or `None` if the discovery call failed.
pub fn endpoint_list_kind(form: EndpointListForm) -> Option<EndpointListKind> {
    match form {
        EndpointListForm::Delta => Some(EndpointListKind::Delta),
        EndpointListForm::Snapshot | EndpointListForm::Cached => Some(EndpointListKind::Snapshot),
        EndpointListForm::Error => None,
    }
}

impl From<&EndpointEntry> for Endpoint {
    fn from(entry: &EndpointEntry) -> Endpoint {
        Endpoint {
            name: entry.endpoint.clone(),
            zone: ZoneId(entry.zone),
            cell: CellId(entry.cell),
            hardware: HardwareId(entry.hardware),
            weight: entry.weight,
            state: entry.state.into(),
            started_at: Timestamp(entry.started_at_ms),
        }
    }
}

impl From<EntryState> for EndpointState {
    fn from(state: EntryState) -> EndpointState {
        match state {
            EntryState::Ready => EndpointState::Ready,
            EntryState::Draining => EndpointState::Draining,
            EntryState::Removed => EndpointState::Removed,
        }
    }
}

impl From<RequestReceived> for InstanceEvent {
    fn from(frame: RequestReceived) -> InstanceEvent {
        let event = Event::RequestReceived(Request {
            id: RequestId(frame.request),
            tenant: frame.tenant.unwrap_or_else(|| "".into()),
            class: ClassIndex(frame.class),
            plan: PlanIndex(frame.plan),
            cost: Tokens(frame.cost),
            // The protocol encodes these whole numbers as floats. The conversion saturates.
            shard_start: GatewayId(frame.shard_start as u32),
            shard_size: frame.shard_size as u32,
            client_deadline: Timestamp(frame.client_deadline_ms),
            is_retry: frame.flags & RETRY_FLAG != 0,
        });
        InstanceEvent::new(frame.instance, event)
    }
}

impl From<AttemptFinished> for InstanceEvent {
    fn from(frame: AttemptFinished) -> InstanceEvent {
        let event = Event::AttemptFinished(AttemptOutcome {
            request: RequestId(frame.request),
            attempt: frame.attempt,
            endpoint: frame.endpoint,
            result: frame.status.into(),
            latency: Milliseconds(frame.latency_ms),
            request_ended: frame.request_ended,
            metered_use: metered_use(frame.metered_use_code),
            actual_cost: (frame.actual_cost > 0.0).then_some(Tokens(frame.actual_cost)),
            load_report: frame.load_report.map(LoadReport::from),
        });
        InstanceEvent::new(frame.instance, event)
    }
}

/// Decodes the metered use as a fraction. The code is the percentage plus 1, or 0 if absent.
fn metered_use(code: u32) -> Option<f64> {
    let percentage = code.checked_sub(1)?;
    Some(f64::from(percentage) / 100.0)
}

impl From<Status> for AttemptResult {
    fn from(status: Status) -> AttemptResult {
        match status {
            Status::Success => AttemptResult::Success,
            Status::Error => AttemptResult::Error,
            Status::Overloaded => AttemptResult::Overloaded,
            Status::TimedOut => AttemptResult::TimedOut,
            Status::ConnectFailed => AttemptResult::ConnectFailed,
            Status::ConnectionReset => AttemptResult::ConnectionReset,
            Status::Cancelled => AttemptResult::Cancelled,
            Status::NeverSent => AttemptResult::NeverSent,
        }
    }
}

impl From<LoadReportFrame> for LoadReport {
    fn from(frame: LoadReportFrame) -> LoadReport {
        LoadReport {
            in_flight: frame.in_flight,
            utilization: frame.utilization,
            requests_per_second: frame.requests_per_second,
        }
    }
}

impl From<HealthChecked> for InstanceEvent {
    fn from(frame: HealthChecked) -> InstanceEvent {
        let event = Event::HealthChecked {
            endpoint: frame.endpoint,
            ok: frame.status == Status::Success,
            load_report: frame.load_report.map(LoadReport::from),
        };
        InstanceEvent::new(frame.instance, event)
    }
}

impl From<ClientDisconnected> for InstanceEvent {
    fn from(frame: ClientDisconnected) -> InstanceEvent {
        let event = Event::ClientDisconnected {
            request: RequestId(frame.request),
        };
        InstanceEvent::new(frame.instance, event)
    }
}

impl From<GossipReceived> for InstanceEvent {
    fn from(frame: GossipReceived) -> InstanceEvent {
        let event = Event::GossipReceived {
            from: GatewayId(frame.from),
            text: frame.text,
        };
        InstanceEvent::new(frame.instance, event)
    }
}

impl From<TimerFired> for InstanceEvent {
    fn from(frame: TimerFired) -> InstanceEvent {
        let event = Event::TimerFired {
            token: TimerToken(frame.token),
        };
        InstanceEvent::new(frame.instance, event)
    }
}

/// Returns the output line for an action of an instance.
pub fn reply<'a>(instance: &'a str, action: &'a Action) -> Reply<'a> {
    match action {
        Action::Forward {
            request,
            endpoint,
            deadline: Timestamp(deadline_ms),
        } => Reply::Forward {
            instance,
            request: request.0,
            endpoint,
            deadline_ms: *deadline_ms,
        },
        Action::Reject {
            request,
            retry_after: Milliseconds(retry_after_ms),
            reason: _,
        } => Reply::Reject {
            instance,
            request: request.0,
            retry_after_ms: *retry_after_ms,
        },
        Action::Fail { request } => Reply::Fail {
            instance,
            request: request.0,
        },
        Action::SendGossip { to, text } => Reply::SendGossip {
            instance,
            to: to.0,
            text,
        },
        Action::SetTimer {
            token,
            delay: Milliseconds(delay_ms),
        } => Reply::SetTimer {
            instance,
            token: token.0,
            delay_ms: *delay_ms,
        },
    }
}
