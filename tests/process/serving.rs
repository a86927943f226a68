//! Forwarding of requests to an endpoint and of replies to the client.

use crate::support::*;

#[test]
fn all_arguments_of_a_request_except_the_deadline_are_forwarded_unchanged() {
    let fleet = SingleEndpoint::start();
    let mut client = fleet.gateway.connect();
    client.send(write_request_with_id("order", REQUEST_ID, 3000));
    let mut connection = fleet.endpoint.next_connection();
    let command = connection.read_command();
    assert_eq!(
        command.arguments.len(),
        5,
        "expected as many arguments as the client sent"
    );
    assert_eq!(
        [
            command.name(),
            command.tenant(),
            command.request_id(),
            command.body()
        ],
        ["Q.DO", TENANT, REQUEST_ID, "BODY"],
        "expected the client's arguments"
    );
    let (before_deadline, rest) = command
        .fields()
        .split_once(",d=")
        .expect("the command has a deadline field");
    let (deadline, after_deadline) = rest
        .split_once(',')
        .expect("further fields follow the deadline");
    assert_eq!(
        (before_deadline, after_deadline),
        ("c=order,t=p", "k=5c0f6e1a2b3d4c59,units=1,spread=1,first=0"),
        "expected the client's other fields"
    );
    let deadline_ms: u32 = deadline.parse().expect("the deadline is a number");
    assert!(
        (1..3000).contains(&deadline_ms),
        "expected less than the client's 3000 ms, got {deadline_ms}"
    );
    connection.send_value("mixed");
    client.expect_reply("mixed");
}

#[test]
fn pipelined_requests_are_forwarded_concurrently_and_answered_in_order() {
    let fleet = SingleEndpoint::start();
    let mut client = fleet.gateway.connect();
    client.send([read_request(5000), ping_command(), read_request(5000)].concat());
    // Either connection may carry either request. Both requests are in flight before either is answered.
    let mut first = fleet.endpoint.next_connection();
    let mut second = fleet.endpoint.next_connection();
    first.read_command();
    second.read_command();
    second.send_value("x");
    first.send_value("x");
    for expected in ["x", "+PONG", "x"] {
        client.expect_reply(expected);
    }
}

/// Starts a gateway whose buckets hold this many tokens and are hardly refilled. Its endpoint answers each
/// request with the given usage report. The gateway comes last, so that it is dropped before its stand-in.
fn start_with_bucket(tokens: u32, usage: &'static str) -> (StandInDiscovery, GatewayProcess) {
    let SingleEndpoint {
        endpoint,
        discovery,
        gateway,
    } = SingleEndpoint::configured(|config| {
        config.plan = format!(r#""UnitsPerS":0.001,"PeakUnits":{tokens}.0"#);
    });
    answer_all_requests(endpoint, usage);
    (discovery, gateway)
}

/// Sends up to ten requests that cost one token each, with a bucket of ten tokens and almost no refill. Each
/// answer carries the given usage report. Returns the number of requests that are answered before the first
/// rejection.
fn answered_requests_with_usage(usage: &'static str) -> usize {
    let (_discovery, gateway) = start_with_bucket(10, usage);
    let mut client = gateway.connect();
    let replies = (0..10).map(|_| {
        client.send(read_request(5000));
        client.read_reply()
    });
    replies.take_while(|reply| reply == "x").count()
}

/// Guards against a tenant with two quotas, one for each form in which clients write its number.
#[test]
fn quota_is_shared_by_all_forms_of_a_tenant_number() {
    let (_discovery, gateway) = start_with_bucket(1, "cost=1");
    let mut client = gateway.connect();
    client.send(read_request_of(TENANT, 5000));
    client.expect_reply("x");
    client.send(read_request_of(&TENANT.to_uppercase(), 5000));
    client.expect_reply_prefix("-BUSY");
}

/// Answers every request on every connection, with the given usage report.
fn answer_all_requests(endpoint: StandInEndpoint, usage: &'static str) {
    std::thread::spawn(move || {
        for mut connection in endpoint.into_connections() {
            std::thread::spawn(move || {
                while connection.has_further_input() {
                    connection.read_command();
                    let length = usage.len();
                    connection.send(format!("*3\r\n$1\r\nx\r\n${length}\r\n{usage}\r\n$-1\r\n"));
                }
            });
        }
    });
}

#[test]
fn valid_reported_cost_is_charged_and_invalid_usage_reports_are_ignored() {
    assert_eq!(
        answered_requests_with_usage("used=37,cost=4"),
        3,
        "expected three answers, which cost twelve tokens and exhaust the bucket of ten"
    );
    for invalid_report in [
        "used=37",
        "cost=",
        "cost=-4",
        "cost=NaN",
        "cost=inf",
        "cost=400",
        "cost=4=4",
        "\u{1F600}",
    ] {
        assert_eq!(
            answered_requests_with_usage(invalid_report),
            10,
            "{invalid_report:?}: expected the estimated cost to be charged"
        );
    }
}
