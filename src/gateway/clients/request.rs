//! Requests: their validation, and their encoding for an endpoint.

use super::fields::RequestFields;
use super::request_error::{Field, RequestError};
use super::schema::RequestSchema;
use crate::gateway::resp::{self, Command};
use crate::{ClassIndex, EndpointName, IdempotencyDocument, PlanIndex, Tokens};
use std::ops::Range;
use std::time::Duration;

/// The command for requests of idempotent classes.
const IDEMPOTENT_COMMAND: &[u8] = b"Q.ASK";
/// The command for requests of all other classes.
const EFFECT_COMMAND: &[u8] = b"Q.DO";

/// Parts of a request: name, tenant, request id, fields, and for some requests a body.
const TENANT_PART: usize = 1;
const ID_PART: usize = 2;
const FIELDS_PART: usize = 3;
const MIN_PARTS: usize = FIELDS_PART + 1;

/// The digits of tenants and request ids.
const HEX_DIGITS: usize = 16;
/// Tenants are numbers of 33 bits.
const TENANT_LIMIT: u64 = 1 << 33;
/// The shortest wait that is sent to an endpoint, in milliseconds.
const MIN_WAIT_MS: u64 = 1;
/// The bytes of CR LF.
const TERMINATOR_LEN: usize = 2;

/// A valid request, as the client wrote it.
pub struct ClientRequest {
    /// The bytes of the whole command.
    command: Box<[u8]>,
    /// Where the header of the field list begins in the command: the line with its length.
    fields_header: usize,
    /// Where the field list lies in the command.
    fields: Range<usize>,
    /// Where the digits of the client's deadline lie in the command.
    deadline_digits: Range<usize>,
    /// The tenant, as the client wrote it.
    pub tenant: EndpointName,
    /// The id that the client chose. It is unique among the active requests only.
    pub client_request_id: u64,
    /// The index of the class in the settings.
    pub class: ClassIndex,
    /// The index of the tenant's plan in the settings.
    pub plan: PlanIndex,
    /// The cost in tokens.
    pub cost: Tokens,
    /// The first gateway of the tenant's shard.
    pub shard_start: u32,
    /// The number of gateways in the tenant's shard.
    pub shard_size: u32,
    /// Whether the client marks the request as a retry.
    pub is_retry: bool,
    /// How long the client waits for the answer.
    pub wait: Duration,
}

impl ClientRequest {
    /// Whether a command name is that of a request.
    pub(super) fn is_request(name: &[u8]) -> bool {
        name == IDEMPOTENT_COMMAND || name == EFFECT_COMMAND
    }

    /// Validates a command as a request. `is_active` returns whether an active request has an id.
    ///
    /// # Errors
    /// When the command is not a valid request. The first error in the order of the command is reported.
    pub(super) fn parse(
        command: &Command,
        schema: &RequestSchema,
        is_active: impl FnOnce(u64) -> bool,
    ) -> Result<ClientRequest, RequestError> {
        if !(MIN_PARTS..=resp::MAX_KEPT_PARTS).contains(&command.part_count()) {
            return Err(RequestError::WrongArgumentCount);
        }
        let tenant = parse_tenant(command)?;
        let id = parse_unused_id(command, is_active)?;
        let text = std::str::from_utf8(command.part(FIELDS_PART))
            .map_err(|_| RequestError::InvalidFields)?;
        let fields = RequestFields::parse(text, schema)?;
        let class = fields.class()?;
        check_class(command, &fields, schema.class(class).idempotency)?;
        let deadline = fields.deadline()?;
        let fields_range = command.part_range(FIELDS_PART);
        let fields_start = fields_range.start;
        // Past the deadline of its class no answer is of use, however long the client would wait.
        let max_wait = schema.class(class).deadline.unwrap_or(Duration::MAX);
        Ok(ClientRequest {
            command: command.bytes().into(),
            fields_header: command.part_range(ID_PART).end + TERMINATOR_LEN,
            fields: fields_range,
            deadline_digits: fields_start + deadline.digits.start
                ..fields_start + deadline.digits.end,
            tenant: tenant.text.into(),
            client_request_id: id.number,
            class,
            plan: fields.plan()?,
            cost: fields.cost()?,
            shard_start: fields.shard_start()?,
            shard_size: fields.shard_size()?,
            is_retry: fields.is_retry,
            wait: deadline.wait.min(max_wait),
        })
    }

    /// The bytes that the request occupies in memory.
    #[must_use]
    pub fn command_len(&self) -> usize {
        self.command.len()
    }

    /// Appends the command for an endpoint: unchanged but for the deadline, which says for how many milliseconds the
    /// gateway waits, and is at least one.
    pub fn encode_for_endpoint(&self, wait: Duration, out: &mut Vec<u8>) {
        let wait_ms = wait.as_millis() as u64;
        let mut digits = Vec::with_capacity(20);
        resp::put_digits(&mut digits, wait_ms.max(MIN_WAIT_MS));
        let fields_len = self.fields.len() - self.deadline_digits.len() + digits.len();
        out.extend_from_slice(&self.command[..self.fields_header]);
        resp::put_number(out, b'$', fields_len);
        out.extend_from_slice(&self.command[self.fields.start..self.deadline_digits.start]);
        out.extend_from_slice(&digits);
        out.extend_from_slice(&self.command[self.deadline_digits.end..]);
    }
}

/// Checks what a class demands of the command and its fields.
fn check_class(
    command: &Command,
    fields: &RequestFields,
    idempotency: IdempotencyDocument,
) -> Result<(), RequestError> {
    let is_idempotent = idempotency == IdempotencyDocument::Idempotent;
    if (command.part(0) == IDEMPOTENT_COMMAND) != is_idempotent {
        return Err(RequestError::WrongCommandForClass);
    }
    if idempotency == IdempotencyDocument::Keyed && !fields.has_key {
        return Err(RequestError::MissingField(Field::IdempotencyKey));
    }
    Ok(())
}

fn parse_tenant<'a>(command: &'a Command) -> Result<HexNumber<'a>, RequestError> {
    parse_hex(command.part(TENANT_PART))
        .filter(|tenant| tenant.number < TENANT_LIMIT)
        .ok_or(RequestError::InvalidTenant)
}

/// The id that the client chose, which no active request may have.
fn parse_unused_id<'a>(
    command: &'a Command,
    is_active: impl FnOnce(u64) -> bool,
) -> Result<HexNumber<'a>, RequestError> {
    let id = parse_hex(command.part(ID_PART)).ok_or(RequestError::InvalidId)?;
    if is_active(id.number) {
        return Err(RequestError::DuplicateId);
    }
    Ok(id)
}

/// A number in hexadecimal digits.
struct HexNumber<'a> {
    text: &'a str,
    number: u64,
}

fn parse_hex(bytes: &[u8]) -> Option<HexNumber<'_>> {
    if bytes.len() != HEX_DIGITS || !bytes.iter().all(u8::is_ascii_hexdigit) {
        return None;
    }
    let text = std::str::from_utf8(bytes).ok()?;
    let number = u64::from_str_radix(text, 16).ok()?;
    Some(HexNumber { text, number })
}
