//! The socket-level gateway. It accepts requests from clients and forwards them to endpoints as
//! [`crate::DecisionEngine`] decides.
//!
//! # Tasks
//!
//! All tasks run on one thread, in one `LocalSet`. A second thread writes the lines of the log. These tasks run for the lifetime of the process:
//!
//! | task | module | job |
//! | --- | --- | --- |
//! | main | [`run`] | starts up, accepts clients, shuts down |
//! | timers | [`event_loop`] | fires the timers of the engine and of attempts, and request deadlines |
//! | event loop monitor | `event_loop_monitor` | measures how late tasks run |
//! | counters | [`counters`] | logs the counters |
//! | client expiry | [`clients`] | closes connections whose idle or request timeout has expired |
//! | gossip | [`gossip_socket`] | receives datagrams from other gateways, if gossip is enabled |
//! | discovery | [`discovery`] | keeps the endpoint list up to date |
//! | reload | `signals` | reloads the configuration on SIGHUP |
//!
//! In addition, each client connection, each endpoint connection and each connect to an endpoint has a task
//! of its own.
//!
//! # State
//!
//! [`event_loop::EventLoop`] owns the engine, the requests in flight, the endpoint pool and the timers. A
//! task borrows it for a single call and never across an `await`. [`clients::ClientConnections`] owns the
//! client connections. The discovery task owns the revision of the endpoint list and its
//! [`discovery::PollSchedule`].
//!
//! # Process lifecycle
//!
//! `process` calls `startup`, serves until `signals` reports SIGTERM or SIGINT, and calls `shutdown`.
//! [`bind`] retries addresses that the previous process still uses, [`configuration`] reads the
//! configuration, and [`log`] writes the event log. A panic in any task ends the process ([`exit_on_panic`]).
//!
//! # Races
//!
//! Events that can race with each other, the code that handles each race, and the tests that force it. An
//! event is "unseen" while it has reached the socket but the runtime has not polled it yet.
//!
//! | race | handled by | tests |
//! | --- | --- | --- |
//! | a client with a full pipeline disconnects, unseen | `ConnectionTask::serve` | `a_command_behind_a_full_pipeline_is_not_started_after_an_unseen_disconnect` |
//! | a client disconnects while its input is not read because its pipeline is full | `ConnectionTask::wait` | `a_disconnect_behind_a_full_pipeline_is_noticed_while_no_input_is_read` |
//! | a client disconnects right after malformed input | `ConnectionTask::reject` | `half_close_behind_malformed_input_drops_the_waiting_request` |
//! | a client disconnects while a batch of its commands is being started | `ConnectionTask::dispatch_commands` | `the_rest_of_a_batch_of_commands_is_not_started_after_an_unseen_disconnect` |
//! | a request arrives together with the disconnect | `ConnectionTask::dispatch_request` | `request_that_arrives_together_with_the_disconnect_is_not_forwarded`, `ping_that_arrives_together_with_a_half_close_is_answered` |
//! | a request arrives, unseen, on a connection that is about to be closed | `ClientConnection::next_step` | `command_that_arrived_before_its_connection_is_closed_is_answered` |
//! | shutdown begins when a command has been received in part | `ConnectionState::next_step` | `partial_command_at_shutdown_is_completed_and_answered` |
//! | a command arrives just as the request timeout expires | `ConnectionState::command_received`, `ClientConnection::next_step` | `command_that_arrived_before_the_request_timeout_is_answered` |
//! | the kernel accepts a connection while the connection table is full and shutdown begins | `ClientListener::drain_backlog` | `client_in_the_accept_queue_of_a_full_gateway_is_answered_during_the_shutdown` |
//! | a client disconnects while its command is partly written to an endpoint | `ProxiedRequests::cancel_unsent_attempt` | `a_client_disconnect_stops_a_partly_written_command` |
//! | a client disconnects, unseen, as a permit, a quota response or the failure of an attempt arrives | `ProxiedRequests::start_attempt` | `request_is_not_forwarded_if_its_permit_is_released_together_with_the_disconnect`, `request_is_not_forwarded_if_its_quota_response_arrives_together_with_the_disconnect`, `attempt_that_fails_together_with_the_disconnect_is_not_retried` |
//! | a client disconnects, unseen, as a connection to an endpoint opens | `EventLoop::connect_finished` | `request_is_not_forwarded_if_its_connection_completes_together_with_the_disconnect` |
//! | a connection to an endpoint opens after its attempt has ended | `Forwarder::connect_finished` | `a_connect_that_ends_after_its_attempt_carries_only_a_later_request` |
//! | the deduplication window expires while a connection opens | `ProxiedRequests::send_command` | `a_keyed_request_is_not_retried_if_its_deduplication_window_passes_during_the_connect` |
//! | an endpoint begins to drain while a connection to it opens | `Forwarder::send_command` | `request_goes_elsewhere_if_its_endpoint_starts_draining_while_connecting` |
//! | an abandoned attempt is answered | `RunningAttempt::close_connection` | `late_answer_never_reaches_the_next_request` |
//! | surplus bytes of a response arrive on a connection that is about to be reused | `IdleConnections::take_newest` | `connection_is_not_reused_before_its_reuse_delay_has_passed` |
//! | a request's deadline is later than SIGKILL | `ServicePhase::cap_deadline` | `request_that_would_outlast_the_shutdown_timeout_is_answered_before_the_exit` |
//! | an endpoint takes over the address of another that discovery has not removed yet | `EndpointRegistry::apply` | `new_endpoint_at_a_reused_address_gets_no_connection_of_its_predecessor` |
//! | an endpoint is reported as removed without its other fields | `EndpointUpdate::from_json` | `removed_endpoint_may_be_listed_without_its_other_fields` |
//! | a watch falls silent or never completes a line, and the calls after it hang | `Call::watch` | `a_silent_watch_leaves_time_for_two_calls_that_hang`, `pieces_of_a_line_without_an_end_do_not_keep_a_watch_alive` |
//! | SIGTERM arrives before the first endpoint list | `run` | `sigterm_ends_a_gateway_that_waits_for_its_first_endpoint_list` |
//! | the gateway starts while the previous process still uses an address | `bind_with_retry` | `gateway_whose_address_is_in_use_logs_it_and_is_ready_once_the_address_is_free`, `successor_started_during_a_graceful_shutdown_takes_over_and_the_predecessor_completes` |

mod background_tasks;
pub mod bind;
pub mod clients;
pub mod configuration;
mod configuration_error;
pub mod counters;
pub mod discovery;
mod endpoints;
mod engine_time;
pub mod event_loop;
mod event_loop_monitor;
pub mod gossip_socket;
pub mod log;
pub mod memory_budget;
mod panic_exit;
mod process;
pub mod resp;
mod shutdown;
mod signals;
mod startup;
mod startup_error;

pub use panic_exit::{PANIC_EXIT_CODE, exit_on_panic};
pub use process::run;
pub use startup_error::StartupError;
