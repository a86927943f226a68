//! Tests of configuration errors at startup, and of reloads that switch to another discovery service.

use crate::support::*;
use std::process::Command;

struct InvalidConfiguration {
    case: &'static str,
    text: &'static str,
    /// A text that the error message must contain.
    expected_in_error: &'static str,
}

const INVALID_CONFIGURATIONS: [InvalidConfiguration; 4] = [
    InvalidConfiguration {
        case: "not JSON",
        text: "nonsense",
        expected_in_error: "expected",
    },
    InvalidConfiguration {
        case: "no settings",
        text: r#"{"seed":"1"}"#,
        expected_in_error: "settings",
    },
    InvalidConfiguration {
        case: "no classes",
        text: r#"{"seed":"1","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":{"Balancers":1,"Classes":[]}}"#,
        expected_in_error: "class",
    },
    InvalidConfiguration {
        case: "no address",
        text: r#"{"seed":"1","listen":"here","discovery":"127.0.0.1:1","settings":{"Balancers":1,"Classes":[{"Target":1.0,"Effect":"once"}]}}"#,
        expected_in_error: "listen",
    },
];

#[test]
fn invalid_configuration_fails_with_one_line_that_names_the_error() {
    for InvalidConfiguration {
        case,
        text,
        expected_in_error,
    } in INVALID_CONFIGURATIONS
    {
        let path = write_config_file(text);
        let output = Command::new(GATEWAY_PROGRAM)
            .env("GW_CONFIG", &path)
            .output()
            .expect("the gateway can be run");
        let _ = std::fs::remove_file(path);
        let error = String::from_utf8(output.stderr).expect("the error output is text");
        assert!(!output.status.success(), "{case}: expected a failure");
        assert_eq!(
            error.lines().count(),
            1,
            "{case}: expected one line, got {error:?}"
        );
        assert!(
            error.contains(expected_in_error),
            "{case}: expected {expected_in_error:?} in {error:?}"
        );
    }
    let output = Command::new(GATEWAY_PROGRAM)
        .env_remove("GW_CONFIG")
        .output()
        .expect("the gateway can be run");
    let error = String::from_utf8_lossy(&output.stderr);
    assert!(
        !output.status.success() && error.contains("GW_CONFIG"),
        "expected a failure that names GW_CONFIG, got {error:?}"
    );
}

#[test]
fn reload_switches_the_discovery_service_and_keeps_requests_in_flight() {
    let old_endpoint = StandInEndpoint::start();
    let new_endpoint = StandInEndpoint::start();
    let old_list = complete_list(41, &[ready_endpoint("s-1", old_endpoint.address)]);
    let old_discovery = StandInDiscovery::with_list(old_list);
    // The new service's revision is lower than the old one's, because each discovery service numbers its own
    // revisions.
    let new_list = complete_list(7, &[ready_endpoint("s-2", new_endpoint.address)]);
    let new_discovery = StandInDiscovery::with_list(new_list);
    let mut config = GatewayConfig::new(old_discovery.address);
    config.shell_prefix = format!("GW_DISCOVERY={} exec", old_discovery.address);
    let gateway = config.start();
    let old_watch = old_discovery.next_watch();
    let mut client = gateway.connect();
    let mut busy_client = gateway.connect();
    busy_client.send(read_request(9000));
    let mut in_flight = old_endpoint.next_connection();
    in_flight.read_command();

    gateway.reload("{ half");
    gateway.wait_for_log(LOG_CONFIGURATION_REJECTED);
    config.discovery = "nowhere".into();
    gateway.reload(&config.json());
    gateway.wait_for_log(LOG_CONFIGURATION_REJECTED);
    old_watch.expect_open();

    gateway.reload(&GatewayConfig::new(new_discovery.address).json());
    let mut new_watch = new_discovery.next_watch();
    old_watch.expect_close("the new configuration names another discovery service");
    let request = read_request(9000);
    let mut pooled = complete_on_new_connection(&mut client, request, &new_endpoint, "moved");
    // The reload affects neither the request in flight nor its connection.
    in_flight.send_value("kept");
    busy_client.expect_reply("kept");
    new_watch.send(&list_change(
        8,
        &[
            ready_endpoint("s-3", old_endpoint.address),
            removed_endpoint("s-2", new_endpoint.address),
        ],
    ));
    pooled.expect_close("its endpoint was removed");
    complete_on_new_connection(&mut client, read_request(9000), &old_endpoint, "followed");
}

#[test]
fn reload_switches_from_a_discovery_service_that_never_answered() {
    let endpoint = StandInEndpoint::start();
    let silent_discovery = ManualDiscovery::start();
    let gateway = GatewayConfig {
        cached_list: complete_list(41, &[ready_endpoint("s-1", endpoint.address)]),
        ..GatewayConfig::new(silent_discovery.address)
    }
    .start();
    let new_list = complete_list(7, &[ready_endpoint("s-1", endpoint.address)]);
    let new_discovery = StandInDiscovery::with_list(new_list);
    gateway.reload(&GatewayConfig::new(new_discovery.address).json());
    new_discovery.next_watch();
}
