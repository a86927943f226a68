//! Tests of the start whose time has to be played.

use crate::support::ANY;
use marlshelf::gateway::bind::{BIND_TIMEOUT, bind_with_retry};
use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::Instant;

#[test]
fn an_address_that_stays_in_use_is_given_up_after_a_time_with_a_clear_word() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build();
    runtime.expect("a runtime").block_on(async {
        let holder = std::net::TcpListener::bind(ANY).expect("a port");
        let at = holder.local_addr().expect("bound");
        let (begun, tries) = (Instant::now(), Cell::new(0));
        let bind = async |at: SocketAddr| {
            tries.set(tries.get() + 1);
            TcpListener::bind(at).await
        };
        let ended = bind_with_retry("listen", at, bind)
            .await
            .map(|_| ())
            .expect_err("it is held all the time");
        assert!(
            ended.starts_with(&format!("cannot listen at {at}: ")),
            "{ended}"
        );
        let took = begun.elapsed();
        assert!(
            took >= BIND_TIMEOUT && took < BIND_TIMEOUT + Duration::from_secs(1),
            "{took:?} of virtual time"
        );
        assert!(tries.get() > 100, "{} tries", tries.get());
    });
}
