//! Validation of client requests and their encoding for endpoints.

use super::fields::RequestFields;
use super::request_error::{Field, RequestError};
use super::schema::RequestSchema;
use crate::gateway::resp::{self, Command};
use crate::{ClassIndex, IdempotencyDocument, PlanIndex, TenantName, Tokens};
use std::ops::Range;
use std::time::Duration;

/// Command name for idempotent classes.
const IDEMPOTENT_COMMAND: &[u8] = b"Q.ASK";
/// Command name for all other classes.
const NON_IDEMPOTENT_COMMAND: &[u8] = b"Q.DO";

/// Positions of the parts of a request command: name, tenant key, request id, fields and, optionally, a
/// body.
const TENANT_PART: usize = 1;
const ID_PART: usize = 2;
const FIELDS_PART: usize = 3;
const MIN_PARTS: usize = FIELDS_PART + 1;

/// Number of digits in a tenant key or request id.
const HEX_DIGITS: usize = 16;
/// Tenant keys are 33-bit numbers.
const TENANT_LIMIT: u64 = 1 << 33;
/// The shortest timeout that is sent to an endpoint, in milliseconds.
const MIN_TIMEOUT_MS: u64 = 1;
/// Length of CR LF.
const TERMINATOR_LEN: usize = 2;

/// The number of a tenant. Clients write it as hexadecimal digits in upper or lower case.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TenantNumber(u64);

impl TenantNumber {
    /// Returns the name by which the decision engine knows the tenant. It is the same for all forms in which
    /// clients write the number.
    #[must_use]
    pub fn name(self) -> TenantName {
        format!("{:0width$x}", self.0, width = HEX_DIGITS).into()
    }
}

/// A validated request, with the original bytes of its command.
pub struct ClientRequest {
    command: Box<[u8]>,
    /// Start of the field list's bulk string header (`$` and its length) in `command`.
    fields_header: usize,
    /// Position of the field list in `command`.
    fields: Range<usize>,
    /// Position of the deadline's digits in `command`.
    deadline_digits: Range<usize>,
    /// The tenant that the request is charged to.
    pub tenant: TenantNumber,
    /// The id chosen by the client. It is unique only among active requests.
    pub client_request_id: u64,
    /// The index of the class in the settings.
    pub class: ClassIndex,
    /// The index of the tenant's plan in the settings.
    pub plan: PlanIndex,
    /// The cost declared by the client, in tokens.
    pub cost: Tokens,
    /// The index of the first gateway in the tenant's shard.
    pub shard_start: u32,
    /// The number of gateways in the tenant's shard.
    pub shard_size: u32,
    /// Whether the client marks the request as a retry.
    pub is_retry: bool,
    /// How long the client waits for the response, limited by the deadline of the class.
    pub timeout: Duration,
}

impl ClientRequest {
    /// Whether a command with this name is a request.
    pub(super) fn is_request(name: &[u8]) -> bool {
        name == IDEMPOTENT_COMMAND || name == NON_IDEMPOTENT_COMMAND
    }

    /// Validates a request command. `is_active` returns whether a client-chosen id belongs to an active
    /// request.
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
        // A response after the class deadline is useless, even if the client would wait longer.
        let max_timeout = schema.class(class).deadline.unwrap_or(Duration::MAX);
        Ok(ClientRequest {
            command: command.bytes().into(),
            fields_header: command.part_range(ID_PART).end + TERMINATOR_LEN,
            fields: fields_range,
            deadline_digits: fields_start + deadline.digits.start
                ..fields_start + deadline.digits.end,
            tenant,
            client_request_id: id,
            class,
            plan: fields.plan()?,
            cost: fields.cost()?,
            shard_start: fields.shard_start()?,
            shard_size: fields.shard_size()?,
            is_retry: fields.is_retry,
            timeout: deadline.timeout.min(max_timeout),
        })
    }

    /// Size of the command in bytes, which counts towards the memory budget.
    #[must_use]
    pub fn command_len(&self) -> usize {
        self.command.len()
    }

    /// Appends the command for an endpoint. It equals the client's command except for the deadline, which
    /// is replaced by `timeout` in whole milliseconds, at least one.
    pub fn encode_for_endpoint(&self, timeout: Duration, out: &mut Vec<u8>) {
        let timeout_ms = timeout.as_millis() as u64;
        let mut digits = Vec::with_capacity(20);
        resp::put_digits(&mut digits, timeout_ms.max(MIN_TIMEOUT_MS));
        let fields_len = self.fields.len() - self.deadline_digits.len() + digits.len();
        out.extend_from_slice(&self.command[..self.fields_header]);
        resp::put_number(out, b'$', fields_len);
        out.extend_from_slice(&self.command[self.fields.start..self.deadline_digits.start]);
        out.extend_from_slice(&digits);
        out.extend_from_slice(&self.command[self.deadline_digits.end..]);
    }
}

/// Checks that the command and the idempotency key match the idempotency of the class.
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

fn parse_tenant(command: &Command) -> Result<TenantNumber, RequestError> {
    parse_hex(command.part(TENANT_PART))
        .filter(|tenant| *tenant < TENANT_LIMIT)
        .map(TenantNumber)
        .ok_or(RequestError::InvalidTenant)
}

/// Parses the client-chosen id and rejects one that is in use by an active request.
fn parse_unused_id(
    command: &Command,
    is_active: impl FnOnce(u64) -> bool,
) -> Result<u64, RequestError> {
    let id = parse_hex(command.part(ID_PART)).ok_or(RequestError::InvalidId)?;
    if is_active(id) {
        return Err(RequestError::DuplicateId);
    }
    Ok(id)
}

/// Parses a hexadecimal number of fixed length, in upper or lower case.
fn parse_hex(bytes: &[u8]) -> Option<u64> {
    if bytes.len() != HEX_DIGITS || !bytes.iter().all(u8::is_ascii_hexdigit) {
        return None;
    }
    let text = std::str::from_utf8(bytes).ok()?;
    u64::from_str_radix(text, 16).ok()
}
