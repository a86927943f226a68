//! Parser for the key-value fields of a request.

use super::request_error::{Field, RequestError};
use super::schema::RequestSchema;
use crate::{ClassIndex, PlanIndex, Tokens};
use std::ops::Range;
use std::time::Duration;

/// Upper limit for client deadlines, in milliseconds.
const MAX_DEADLINE_MS: u32 = 60_000;

/// The client's deadline, with the position of its digits in the field list.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Deadline {
    pub(super) timeout: Duration,
    pub(super) digits: Range<usize>,
}

/// The fields parsed so far. Unknown fields are ignored.
#[derive(Debug, Default)]
pub(super) struct RequestFields {
    class: Option<ClassIndex>,
    plan: Option<PlanIndex>,
    deadline: Option<Deadline>,
    cost: Option<Tokens>,
    shard_start: Option<u32>,
    shard_size: Option<u32>,
    /// Whether the request has an idempotency key.
    pub(super) has_key: bool,
    pub(super) is_retry: bool,
}

impl RequestFields {
    /// Parses a comma-separated list of `name=value` pairs.
    pub(super) fn parse(text: &str, schema: &RequestSchema) -> Result<RequestFields, RequestError> {
        let mut fields = RequestFields::default();
        let mut start = 0;
        for field in text.split(',') {
            let (name, value) = field.split_once('=').ok_or(RequestError::InvalidFields)?;
            let end = start + field.len();
            let value_range = end - value.len()..end;
            fields.set(name, value, value_range, schema)?;
            start = end + 1;
        }
        Ok(fields)
    }

    /// Parses and stores the value of a known field. An invalid value is reported in preference to a
    /// repeated field.
    fn set(
        &mut self,
        name: &str,
        value: &str,
        value_range: Range<usize>,
        schema: &RequestSchema,
    ) -> Result<(), RequestError> {
        match name {
            "c" => set_once(&mut self.class, schema.class_index(value), Field::Class),
            "t" => set_once(&mut self.plan, schema.plan_index(value), Field::Plan),
            "d" => {
                let deadline = parse_deadline(value, value_range);
                set_once(&mut self.deadline, deadline, Field::Deadline)
            }
            "units" => {
                let cost = parse_cost(value, schema.max_cost());
                set_once(&mut self.cost, cost, Field::Cost)
            }
            "first" => {
                let gateway = parse_integer(value).filter(|index| *index < schema.gateway_count());
                set_once(&mut self.shard_start, gateway, Field::ShardStart)
            }
            "spread" => {
                let size =
                    parse_integer(value).filter(|size| (1..=schema.gateway_count()).contains(size));
                set_once(&mut self.shard_size, size, Field::ShardSize)
            }
            "k" => self.set_key(value),
            "r" => {
                self.is_retry = value == "1";
                Ok(())
            }
            _ => Ok(()),
        }
    }

    fn set_key(&mut self, key: &str) -> Result<(), RequestError> {
        if key.is_empty() {
            return Err(RequestError::InvalidField(Field::IdempotencyKey));
        }
        if self.has_key {
            return Err(RequestError::RepeatedField);
        }
        self.has_key = true;
        Ok(())
    }

    pub(super) fn class(&self) -> Result<ClassIndex, RequestError> {
        required(self.class, Field::Class)
    }

    pub(super) fn plan(&self) -> Result<PlanIndex, RequestError> {
        required(self.plan, Field::Plan)
    }

    pub(super) fn deadline(&self) -> Result<Deadline, RequestError> {
        required(self.deadline.clone(), Field::Deadline)
    }

    pub(super) fn cost(&self) -> Result<Tokens, RequestError> {
        required(self.cost, Field::Cost)
    }

    pub(super) fn shard_start(&self) -> Result<u32, RequestError> {
        required(self.shard_start, Field::ShardStart)
    }

    pub(super) fn shard_size(&self) -> Result<u32, RequestError> {
        required(self.shard_size, Field::ShardSize)
    }
}

fn required<T>(value: Option<T>, field: Field) -> Result<T, RequestError> {
    value.ok_or(RequestError::MissingField(field))
}

/// Stores the value of a field. `None` represents an invalid value.
fn set_once<T>(target: &mut Option<T>, value: Option<T>, field: Field) -> Result<(), RequestError> {
    let value = value.ok_or(RequestError::InvalidField(field))?;
    match target.replace(value) {
        None => Ok(()),
        Some(_) => Err(RequestError::RepeatedField),
    }
}

fn parse_deadline(value: &str, digits: Range<usize>) -> Option<Deadline> {
    let milliseconds = parse_integer(value).filter(|ms| (1..=MAX_DEADLINE_MS).contains(ms))?;
    let timeout = Duration::from_millis(milliseconds.into());
    Some(Deadline { timeout, digits })
}

fn parse_cost(value: &str, max_cost: Tokens) -> Option<Tokens> {
    let cost = Tokens(value.parse().ok()?);
    (cost > Tokens::ZERO && cost <= max_cost).then_some(cost)
}

/// Parses an unsigned decimal number. Unlike `str::parse`, rejects a leading plus sign.
fn parse_integer(value: &str) -> Option<u32> {
    value
        .parse()
        .ok()
        .filter(|_| value.as_bytes()[0].is_ascii_digit())
}
