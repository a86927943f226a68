//! The gateway on real sockets: clients on one side, endpoints on the other, and the decisions of
//! [`crate::DecisionEngine`] between them.
//!
//! # Tasks
//!
//! Everything runs on one thread, in one `LocalSet`. These tasks run as long as the process:
//!
//! | task | module | job |
//! | --- | --- | --- |
//! | main | [`run`] | startup, accepting clients, shutdown |
//! | timers | [`event_loop`] | fires what is due: timers of the engine, attempts, deadlines |
//! | client expiry | [`clients`] | closes connections whose time is up |
//! | gossip | [`gossip_socket`] | receives datagrams of other gateways, if gossip is enabled |
//! | discovery | [`discovery`] | keeps the endpoint list up to date |
//! | reload | `signals` | reads the configuration again on SIGHUP |
//!
//! Besides these, each client connection, each endpoint connection and each attempt that opens a connection has a
//! task of its own.
//!
//! # State
//!
//! [`event_loop::EventLoop`] owns the engine, the requests in flight, the endpoint pool and the timers. Every task
//! borrows it for the length of one call and never across an `await`. [`clients::ClientConnections`]
//! owns the client connections. The discovery task owns the revision of the list and its [`discovery::PollSchedule`].
//!
//! # Life of the process
//!
//! `process` calls `startup`, serves until `signals` reports SIGTERM or SIGINT, and calls `shutdown`. [`bind`]
//! waits for addresses that the previous incarnation still uses, [`configuration`] reads the configuration, and
//! [`log`] writes every line of the log.

//!
//! # Races
//!
//! What can cross on the way, what settles it, and the test that forces the crossing. "Unseen" means that the socket
//! knows something that the runtime has not polled yet.
//!
//! | crossing | settled by | tests |
//! | --- | --- | --- |
//! | unseen disconnect of a client whose pipeline was full | `ConnectionTask::serve` | `a_command_behind_a_full_pipeline_is_not_started_after_an_unseen_disconnect` |
//! | disconnect of a client whose input is not read because its pipeline is full | `ConnectionTask::wait` | `a_disconnect_behind_a_full_pipeline_is_noticed_while_no_input_is_read` |
//! | disconnect behind malformed input | `ConnectionTask::reject` | `half_close_behind_malformed_input_drops_the_waiting_request` |
//! | disconnect while a batch of commands is started | `ConnectionTask::start_commands` | `the_rest_of_a_batch_of_commands_is_not_started_after_an_unseen_disconnect` |
//! | request that arrives together with the disconnect | `ConnectionTask::start_request` | `request_that_arrives_together_with_the_disconnect_is_not_forwarded`, `ping_that_arrives_together_with_a_half_close_is_answered` |
//! | unseen request on a connection that is to be closed | `ClientConnection::next_step` | `command_that_arrived_before_its_connection_is_closed_is_answered` |
//! | shutdown over a part of a command | `ConnectionState::next_step` | `partial_command_at_shutdown_is_completed_and_answered` |
//! | command that arrives as its time is up | `ConnectionState::command_received`, `ClientConnection::next_step` | `command_that_arrived_before_the_request_timeout_is_answered` |
//! | connection that the kernel accepts while the table is full and the shutdown begins | `ClientListener::drain_backlog` | `client_in_the_accept_queue_of_a_full_gateway_is_answered_during_the_shutdown` |
//! | disconnect while a command is partly written | `ProxiedRequests::cancel_unsent_attempt` | `a_client_disconnect_stops_a_partly_written_command` |
//! | unseen disconnect as a permit, a quota response or the failure of an attempt arrives | `ProxiedRequests::start_attempt` | `request_is_not_forwarded_if_its_permit_is_released_together_with_the_disconnect`, `request_is_not_forwarded_if_its_quota_response_arrives_together_with_the_disconnect`, `attempt_that_fails_together_with_the_disconnect_is_not_retried` |
//! | unseen disconnect as a connection opens | `EventLoop::connect_finished` | `request_is_not_forwarded_if_its_connection_completes_together_with_the_disconnect` |
//! | connection that opens after its attempt has ended | `Forwarder::connect_finished` | `a_connect_that_ends_after_its_attempt_carries_only_a_later_request` |
//! | deduplication window that passes while a connection opens | `ProxiedRequests::send_command` | `a_keyed_request_is_not_retried_if_its_deduplication_window_passes_during_the_connect` |
//! | endpoint that begins to drain while a connection opens | `Forwarder::send_command` | `request_goes_elsewhere_if_its_endpoint_starts_draining_while_connecting` |
//! | answer to an attempt that has been abandoned | `RunningAttempt::close_connection` | `late_answer_never_reaches_the_next_request` |
//! | late bytes of a response on a connection that is used again | `IdleConnections::take_newest` | `connection_is_not_reused_before_its_reuse_delay_has_passed` |
//! | request whose deadline lies after the kill | `ServicePhase::limit` | `request_that_would_outlast_the_shutdown_timeout_is_answered_before_the_exit` |
//! | new owner of an address that the list has not removed | `EndpointRegistry::apply` | `new_endpoint_at_a_reused_address_gets_no_connection_of_its_predecessor` |
//! | removal of an endpoint that is reported without its other fields | `EndpointUpdate::from_json` | `removed_endpoint_needs_no_description` |
//! | watch that is silent or never ends a line, and calls after it that hang | `Watcher::watch` | `a_silent_watch_leaves_time_for_two_calls_that_hang`, `pieces_of_a_line_without_an_end_do_not_keep_a_watch_alive` |
//! | SIGTERM before the first endpoint list | `run` | `sigterm_ends_a_gateway_that_waits_for_its_first_endpoint_list` |
//! | start while the previous incarnation uses an address | `bind_with_retry` | `gateway_whose_address_is_in_use_logs_it_and_is_ready_once_the_address_is_free`, `successor_started_during_a_graceful_shutdown_takes_over_and_the_predecessor_completes` |

mod background_tasks;
pub mod bind;
pub mod clients;
pub mod configuration;
mod configuration_error;
pub mod discovery;
mod endpoints;
mod engine_time;
pub mod event_loop;
pub mod gossip_socket;
pub mod log;
pub mod memory_budget;
mod process;
pub mod resp;
mod shutdown;
mod signals;
mod startup;
mod startup_error;

pub use process::run;
pub use startup_error::StartupError;
