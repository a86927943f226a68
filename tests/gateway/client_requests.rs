//! Parsing, validation and encoding of client requests.

use crate::client_listener::*;
use crate::support::*;
use marlshelf::gateway::resp;
use marlshelf::{ClassIndex, PlanIndex, Tokens};
use std::time::Duration;

/// An invalid request, and the error text that follows `-ERR ` in its response.
type InvalidRequest = (Vec<u8>, &'static str);

/// Encodes a request with this command name and these fields.
fn request_with_fields(name: &str, fields: &str) -> Vec<u8> {
    command(&[name, TENANT, TENANT, fields])
}

fn requests_with_invalid_parts() -> Vec<InvalidRequest> {
    let ask = |tenant: &str, id: &str, fields: &str| command(&["Q.ASK", tenant, id, fields]);
    vec![
        (
            command(&["Q.ASK", TENANT, TENANT]),
            "wrong number of arguments",
        ),
        (
            command(&["Q.ASK", TENANT, TENANT, VALID_FIELDS, "body", "more"]),
            "wrong number of arguments",
        ),
        (ask("b4d65521", TENANT, VALID_FIELDS), "bad customer"),
        (
            ask("00000002b4d65521", TENANT, VALID_FIELDS),
            "bad customer",
        ),
        (
            ask("+0000000b4d65521", TENANT, VALID_FIELDS),
            "bad customer",
        ),
        (ask(TENANT, "short", VALID_FIELDS), "bad id"),
        (ask(TENANT, "zzzzzzzzzzzzzzzz", VALID_FIELDS), "bad id"),
    ]
}

fn requests_with_invalid_fields() -> Vec<InvalidRequest> {
    let fields = [
        ("", "bad fields"),
        ("c=read,nonsense", "bad fields"),
        ("c=none,t=p", "bad c"),
        ("c=read,t=none", "bad t"),
        ("d=0", "bad d"),
        ("d=-1", "bad d"),
        ("d=+1", "bad d"),
        ("d=", "bad d"),
        ("d=1.5", "bad d"),
        ("d=60001", "bad d"),
        ("units=0", "bad units"),
        ("units=NaN", "bad units"),
        ("units=4.5", "bad units"),
        ("first=2", "bad first"),
        ("spread=0", "bad spread"),
        ("spread=3", "bad spread"),
        ("k=", "bad k"),
        ("c=read,c=read", "a field stands twice"),
        ("d=9,d=9", "a field stands twice"),
        ("d=9,d=x", "bad d"),
        ("k=1,k=2", "a field stands twice"),
    ];
    fields
        .map(|(fields, error)| (request_with_fields("Q.ASK", fields), error))
        .to_vec()
}

fn requests_with_missing_fields() -> Vec<InvalidRequest> {
    let fields = [
        ("Q.ASK", "t=p,d=9,units=1,spread=1,first=0", "missing c"),
        ("Q.ASK", "c=read,d=9,units=1,spread=1,first=0", "missing t"),
        ("Q.ASK", "c=read,t=p,units=1,spread=1,first=0", "missing d"),
        ("Q.ASK", "c=read,t=p,d=9,spread=1,first=0", "missing units"),
        ("Q.ASK", "c=read,t=p,d=9,units=1,spread=1", "missing first"),
        ("Q.ASK", "c=read,t=p,d=9,units=1,first=0", "missing spread"),
        ("Q.ASK", "c=read", "missing d"),
        ("Q.ASK", "c=pay", "not the command of this class"),
        ("Q.DO", "c=read", "not the command of this class"),
        ("Q.DO", "c=order", "missing k"),
        ("Q.DO", "c=order,k=1", "missing d"),
    ];
    fields
        .map(|(name, fields, error)| (request_with_fields(name, fields), error))
        .to_vec()
}

#[test]
fn invalid_request_gets_its_error_and_the_connection_stays_open() {
    let cases = [
        requests_with_invalid_parts(),
        requests_with_invalid_fields(),
        requests_with_missing_fields(),
    ]
    .concat();
    run_local(async {
        let listener = ListenerFixture::start().await;
        let mut client = listener.connect().await;
        for (sent, expected) in &cases {
            assert_eq!(
                exchange(&mut client, sent).await,
                format!("-ERR {expected}"),
                "{}",
                String::from_utf8_lossy(sent)
            );
        }
        assert_eq!(exchange(&mut client, PING).await, "+PONG");
        assert!(listener.handler.received.borrow().is_empty());
    });
}

#[test]
fn fields_of_a_valid_request_are_parsed() {
    run_local(async {
        let listener = ListenerFixture::start().await;
        let mut client = listener.connect().await;
        let fields = "x=1,r=1,c=order,t=p,d=700,k=a,units=2.5,spread=2,first=1,r=0,r=1";
        send(
            &mut client,
            &command(&["Q.DO", TENANT, "9B1F03AA5c7e2d41", fields, "body"]),
        )
        .await;
        listener.handler.wait_for_requests(1).await;
        let received = listener.handler.received.borrow();
        let request = &received[0].request;
        assert_eq!(&*request.tenant.name(), TENANT);
        assert_eq!(request.client_request_id, 0x9b1f_03aa_5c7e_2d41);
        assert_eq!((request.class, request.plan), (ClassIndex(2), PlanIndex(0)));
        assert_eq!((request.shard_start, request.shard_size), (1, 2));
        assert_eq!(
            (request.cost, request.timeout),
            (Tokens(2.5), Duration::from_millis(700))
        );
        assert!(request.is_retry);
    });
}

/// Guards against a tenant with two quotas: the two forms of its number counted as two tenants.
#[test]
fn tenant_is_the_same_in_upper_and_lower_case_and_forwarded_as_written() {
    run_local(async {
        let listener = ListenerFixture::start().await;
        let mut client = listener.connect().await;
        let forms = [TENANT, "00000000B4D65521", "00000000b4D65521"];
        for (id, form) in forms.iter().enumerate() {
            let request = command(&["Q.ASK", form, &format!("{id:016x}"), VALID_FIELDS]);
            send(&mut client, &request).await;
        }
        listener.handler.wait_for_requests(forms.len()).await;
        for (received, form) in listener.handler.received.borrow().iter().zip(forms) {
            assert_eq!(&*received.request.tenant.name(), TENANT, "{form}");
            let mut forwarded = Vec::new();
            let timeout = Duration::from_millis(700);
            received
                .request
                .encode_for_endpoint(timeout, &mut forwarded);
            let forwarded = resp::parse_command(&forwarded)
                .expect("well-formed")
                .expect("complete");
            assert_eq!(forwarded.part(1), form.as_bytes());
        }
    });
}

#[test]
fn deadline_of_the_class_limits_how_long_a_client_waits() {
    run_local(async {
        let listener = ListenerFixture::start().await;
        let mut client = listener.connect().await;
        send(&mut client, &request(1)).await;
        listener.handler.wait_for_requests(1).await;
        assert_eq!(
            listener.handler.received.borrow()[0].request.timeout,
            Duration::from_millis(800)
        );
    });
}

#[test]
fn request_is_encoded_for_an_endpoint_with_only_its_deadline_changed() {
    let fields = |deadline| format!("c=order,t=p,d={deadline},k=a,units=1,spread=1,first=0");
    let encoded = |deadline| command(&["Q.DO", TENANT, TENANT, &fields(deadline), "body\r\n"]);
    run_local(async {
        let listener = ListenerFixture::start().await;
        let mut client = listener.connect().await;
        let sent = encoded(9000);
        send(&mut client, &sent).await;
        listener.handler.wait_for_requests(1).await;
        let received = listener.handler.received.borrow();
        let request = &received[0].request;
        assert_eq!(request.command_len(), sent.len());
        for deadline in [1, 87, 9000, 12_345] {
            let mut out = Vec::new();
            request.encode_for_endpoint(Duration::from_millis(deadline), &mut out);
            assert_eq!(out, encoded(deadline));
        }
    });
}

/// Guards against lost requests: a connection was closed with "no room for so long a command now" while complete
/// commands that it had read waited for room in its pipeline, because their buffer was larger than the memory.
#[test]
fn complete_commands_behind_a_long_one_are_answered_if_their_buffer_exceeds_the_memory() {
    // Enough for the long command. Its buffer doubles with the last of its bytes.
    const MEMORY: usize = 100_000;
    const LONG_BODY: usize = 65_500;
    /// Requests that a connection starts before the first one is answered.
    const PIPELINED: usize = 128;
    const SENT: usize = 300;
    run_local(async {
        let listener = ListenerFixture::with_memory(MEMORY).await;
        let mut client = listener.connect().await;
        let body = "x".repeat(LONG_BODY);
        let long = command(&["Q.ASK", TENANT, TENANT, VALID_FIELDS, &body]);
        let following = (1..SENT as u64).flat_map(request);
        let commands: Vec<u8> = long.into_iter().chain(following).collect();
        send(&mut client, &commands).await;
        listener.handler.wait_for_requests(PIPELINED).await;
        listener.settle().await;
        for index in 0..SENT {
            listener.handler.wait_for_requests(index + 1).await;
            listener.handler.answer(index, &format!("+{index}\r\n"));
            assert_eq!(read_line(&mut client).await, format!("+{index}"));
        }
    });
}
