//! Gateways together with the stand-ins that most tests need.

use super::{
    CONNECTION_REUSE_PAUSE, Connection, DEFAULT_PLAN, FullBacklogListener, GatewayConfig,
    GatewayProcess, LONGEST_DEADLINE_MS, SECOND_TENANT, StandInDiscovery, StandInEndpoint,
    complete_list, read_request, read_request_of, ready_endpoint, wait_until,
};
use std::thread;

/// A gateway with one endpoint, which it learns from discovery.
///
/// The field order matters: fields are dropped in order, and the gateway must exit before its stand-ins.
pub struct SingleEndpoint {
    pub gateway: GatewayProcess,
    pub discovery: StandInDiscovery,
    pub endpoint: StandInEndpoint,
}

impl SingleEndpoint {
    pub fn start() -> SingleEndpoint {
        SingleEndpoint::configured(|_| {})
    }

    /// Starts the gateway with a changed configuration.
    pub fn configured(change: impl FnOnce(&mut GatewayConfig)) -> SingleEndpoint {
        let endpoint = StandInEndpoint::start();
        let discovery = StandInDiscovery::with_endpoint(endpoint.address);
        let mut config = GatewayConfig::new(discovery.address);
        change(&mut config);
        SingleEndpoint {
            gateway: config.start(),
            discovery,
            endpoint,
        }
    }

    /// Starts the gateway with the longest wait times that it supports.
    pub fn with_longest_waits() -> SingleEndpoint {
        SingleEndpoint::configured(|config| *config = config.clone().with_longest_waits())
    }

    /// Starts the gateway with a concurrency limit per tenant. Requests beyond the limit wait for a permit
    /// for the longest supported time.
    pub fn with_concurrency_limit(permits: usize) -> SingleEndpoint {
        SingleEndpoint::configured(|config| {
            *config = config.clone().with_longest_waits();
            config.plan = format!(r#"{DEFAULT_PLAN},"MaxOut":{permits}"#);
        })
    }

    /// Connects a client and sends a request, which the endpoint reads and does not answer.
    #[track_caller]
    pub fn start_request(&self, request: impl AsRef<[u8]>) -> InFlightRequest {
        let mut client = self.gateway.connect();
        client.send(request);
        let mut forwarded = self.endpoint.next_connection();
        forwarded.read_command();
        InFlightRequest { client, forwarded }
    }
}

/// A forwarded request that the endpoint has read and not answered.
pub struct InFlightRequest {
    pub client: Connection,
    /// Endpoint side of the connection on which the request was forwarded.
    pub forwarded: Connection,
}

impl InFlightRequest {
    /// Answers the request and expects the client to receive the value.
    #[track_caller]
    pub fn complete(&mut self, value: &str) {
        self.forwarded.send_value(value);
        self.client.expect_reply(value);
    }
}

/// Sends a request, and answers it on the new connection on which the gateway forwards it. Returns the
/// endpoint side of that connection.
#[track_caller]
pub fn complete_on_new_connection(
    client: &mut Connection,
    request: impl AsRef<[u8]>,
    endpoint: &StandInEndpoint,
    value: &str,
) -> Connection {
    client.send(request);
    let mut forwarded = endpoint.next_connection();
    forwarded.answer_request(value);
    client.expect_reply(value);
    forwarded
}

/// Returns the endpoint side of a pooled connection that the gateway will reuse for the next request.
#[track_caller]
pub fn pooled_connection(endpoint: &StandInEndpoint, gateway: &GatewayProcess) -> Connection {
    let mut client = gateway.connect();
    let request = read_request_of(SECOND_TENANT, LONGEST_DEADLINE_MS);
    let pooled = complete_on_new_connection(&mut client, request, endpoint, "pooled");
    thread::sleep(CONNECTION_REUSE_PAUSE);
    pooled
}

/// A gateway whose only endpoint does not complete connections. The connect timeout is the longest supported
/// one.
pub struct ConnectingEndpoint {
    pub gateway: GatewayProcess,
    pub discovery: StandInDiscovery,
    pub backlog: FullBacklogListener,
}

impl ConnectingEndpoint {
    pub fn start() -> ConnectingEndpoint {
        let backlog = FullBacklogListener::bind();
        let discovery = StandInDiscovery::with_endpoint(backlog.address());
        ConnectingEndpoint {
            gateway: GatewayConfig::new(discovery.address)
                .with_longest_waits()
                .start(),
            discovery,
            backlog,
        }
    }
}

/// A gateway with two endpoints and a pooled connection to each that is ready for reuse.
pub struct TwoPooledEndpoints {
    pub gateway: GatewayProcess,
    pub pooled: Vec<Connection>,
    pub endpoints: [StandInEndpoint; 2],
    _discovery: StandInDiscovery,
}

impl TwoPooledEndpoints {
    pub fn start() -> TwoPooledEndpoints {
        let endpoints = [StandInEndpoint::start(), StandInEndpoint::start()];
        let listed = [
            ready_endpoint("s-1", endpoints[0].address),
            ready_endpoint("s-2", endpoints[1].address),
        ];
        let discovery = StandInDiscovery::with_list(complete_list(1, &listed));
        let gateway = GatewayConfig::new(discovery.address)
            .with_longest_waits()
            .start();
        let (mut pooled, mut clients) = (Vec::new(), Vec::new());
        while pooled.len() < 2 {
            let mut client = gateway.connect();
            client.send(read_request(LONGEST_DEADLINE_MS));
            // While one endpoint has a request in flight, the gateway forwards the next request to the other
            // one.
            wait_until("the request is forwarded", || {
                pooled.extend(
                    endpoints
                        .iter()
                        .filter_map(StandInEndpoint::accepted_connection),
                );
                pooled.len() > clients.len()
            });
            clients.push(client);
        }
        for (connection, client) in pooled.iter_mut().zip(&mut clients) {
            connection.answer_request("served");
            client.expect_reply("served");
        }
        thread::sleep(CONNECTION_REUSE_PAUSE);
        TwoPooledEndpoints {
            gateway,
            pooled,
            endpoints,
            _discovery: discovery,
        }
    }
}

/// Eight clients, each with its first request in flight. When two events become available to the gateway at
/// the same time, it may process them in random order. Eight clients make it likely that one meets the order
/// under test.
pub struct RequestGroup {
    pub clients: Vec<Connection>,
    /// Endpoint sides of the connections on which the first requests were forwarded.
    pub forwarded: Vec<Connection>,
}

impl RequestGroup {
    const SIZE: usize = 8;

    #[track_caller]
    pub fn start(fleet: &SingleEndpoint, input: impl Fn() -> Vec<u8>) -> RequestGroup {
        let (clients, forwarded) = (0..RequestGroup::SIZE)
            .map(|_| fleet.start_request(input()))
            .map(|request| (request.client, request.forwarded))
            .unzip();
        RequestGroup { clients, forwarded }
    }

    pub fn answer_all(&mut self, value: &str) {
        for connection in &mut self.forwarded {
            connection.send_value(value);
        }
    }
}
