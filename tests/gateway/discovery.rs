//! Tests of the discovery client: parsing of endpoint lists and watch frames, and recovery from failed calls.

use crate::support::{ANY_PORT, TEST_TIMEOUT, run_local, test_configuration};
use marlshelf::EndpointState;
use marlshelf::gateway::discovery::{
    self, Connect, EndpointUpdate, Frame, FrameDecoder, FrameError, PollSchedule, Tcp,
};
use marlshelf::gateway::event_loop::EventLoop;
use serde_json::json;
use std::cell::RefCell;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{
    AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, DuplexStream, ReadBuf, duplex,
};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

const EMPTY_LIST: &str = r#"{"rev":1,"all":true,"targets":[]}"#;

/// Totals of the frames decoded from a watch.
#[derive(Debug, Default, PartialEq)]
struct FrameTotals {
    endpoints: usize,
    keep_alives: usize,
}

fn frame_totals(endpoints: usize, keep_alives: usize) -> FrameTotals {
    FrameTotals {
        endpoints,
        keep_alives,
    }
}

/// Splits the pieces after each line feed, as the client does, and decodes them.
fn decode(pieces: &[&str]) -> Result<FrameTotals, FrameError> {
    let mut decoder = FrameDecoder::default();
    let mut totals = FrameTotals::default();
    for piece in pieces {
        for line_piece in piece.as_bytes().split_inclusive(|byte| *byte == b'\n') {
            match decoder.decode(line_piece)? {
                Some(Frame::Update(update)) => totals.endpoints += update.endpoints.len(),
                Some(Frame::KeepAlive) => totals.keep_alives += 1,
                None => {}
            }
        }
    }
    Ok(totals)
}

const INDENTED_LIST: &str = r#"{
  "rev": 43,
  "targets": [
{
  "uid": "s-1", "endpoint": "127.0.0.1:1", "pod_group": 0, "state": "ready"
}
  ]
}
"#;

#[test]
fn frames_may_be_indented_and_split_at_any_position() {
    let on_one_line = INDENTED_LIST.replace(['\n', ' '], "") + "\n";
    let decoded = decode(&[&on_one_line, "\n", &on_one_line]).expect("frames");
    assert_eq!(decoded, frame_totals(2, 1));
    let decoded = decode(&["\n", INDENTED_LIST, "\r\n", INDENTED_LIST, "\n"]).expect("frames");
    assert_eq!(decoded, frame_totals(2, 3));
    for cut in 1..INDENTED_LIST.len() {
        let (head, tail) = INDENTED_LIST.split_at(cut);
        let decoded = decode(&[head, tail, &on_one_line, "\n"]).expect("frames");
        assert_eq!(decoded, frame_totals(2, 1), "cut at {cut}");
    }
}

#[test]
fn a_truncated_list_is_an_error() {
    for cut in 1..INDENTED_LIST.trim_end().len() {
        let head = INDENTED_LIST.split_at(cut).0;
        assert!(
            decode(&[head, "\n\n"]).is_err(),
            "cut at {cut}, then a keep-alive"
        );
    }
    assert!(matches!(
        decode(&["{nonsense\n"]),
        Err(FrameError::Document(discovery::DocumentError::NotJson(_)))
    ));
    assert!(matches!(
        decode(&["7\n"]),
        Err(FrameError::Document(
            discovery::DocumentError::NotAnEndpointList
        ))
    ));
}

#[test]
fn an_endless_frame_is_an_error_before_it_exhausts_the_memory() {
    let mut decoder = FrameDecoder::default();
    let piece = vec![b' '; 1 << 20];
    let mut accepted = 0;
    let error = loop {
        match decoder.decode(&piece) {
            Ok(frame) => assert_eq!(frame, None),
            Err(error) => break error,
        }
        accepted += 1;
        assert!(accepted < 100, "there is no bound");
    };
    assert!(matches!(error, FrameError::TooLong), "{error}");
    assert_eq!(accepted, 4, "MiB are accepted");
}

#[test]
fn a_malformed_entry_is_skipped_and_the_others_are_kept() {
    let document = json!({"rev": 7, "targets": [
        {"uid": "a", "endpoint": "127.0.0.1:1", "pod_group": 2, "state": "ready", "capacity_hint": 3.0},
        {"uid": "", "endpoint": "127.0.0.1:1", "pod_group": 0, "state": "ready"},
        {"uid": "no-address", "endpoint": "nowhere", "pod_group": 0, "state": "ready"},
        {"uid": "no-cell", "endpoint": "127.0.0.1:1", "state": "draining"},
        {"uid": "no-state", "endpoint": "127.0.0.1:1", "pod_group": 0, "state": "odd"},
        7,
        {"uid": "b", "state": "gone"},
    ]});
    let update = EndpointUpdate::from_json(&document).expect("an endpoint list");
    assert_eq!((update.revision, update.snapshot), (7, false));
    let names: Vec<&str> = update
        .endpoints
        .iter()
        .map(|listed| listed.name.as_str())
        .collect();
    assert_eq!(names, ["a", "b"]);
    assert_eq!(update.endpoints[0].cell, 2);
    assert_eq!(update.endpoints[0].weight, 3.0);
    // A removal takes effect even if the entry lacks all other fields.
    assert_eq!(update.endpoints[1].state, EndpointState::Removed);
}

/// The service side of a discovery connection whose client has been sent the first line of its first watch.
struct FollowedDiscovery {
    listener: TcpListener,
    watch: TcpStream,
    /// Keeps the client running, which stops when the sender is dropped.
    _address: watch::Sender<SocketAddr>,
}

async fn follow_until_first_line() -> FollowedDiscovery {
    tokio::time::pause();
    let listener = TcpListener::bind(ANY_PORT).await.expect("a port");
    let address = listener.local_addr().expect("bound");
    let configuration = test_configuration(address);
    let schedule = PollSchedule::new(&configuration.document, 7);
    let gateway = EventLoop::new(configuration, None, 8).expect("valid settings");
    let (address_sender, address) = watch::channel(address);
    let on_update = move |update| gateway.borrow_mut().endpoints_changed(&update);
    spawn_local(discovery::follow(Tcp, on_update, address, None, schedule));
    let (mut stream, _) = listener.accept().await.expect("a call");
    stream.set_nodelay(true).expect("a socket");
    expect_request(&mut stream).await;
    let snapshot = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{EMPTY_LIST}",
        EMPTY_LIST.len()
    );
    stream
        .write_all(snapshot.as_bytes())
        .await
        .expect("written");
    expect_request(&mut stream).await;
    let chunk = format!("{:x}\r\n{EMPTY_LIST}\n\r\n", EMPTY_LIST.len() + 1);
    let watch = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunk}");
    stream.write_all(watch.as_bytes()).await.expect("written");
    FollowedDiscovery {
        listener,
        watch: stream,
        _address: address_sender,
    }
}

async fn expect_request(stream: &mut TcpStream) {
    let mut request = [0; 1024];
    assert!(stream.read(&mut request).await.is_ok_and(|n| n > 0));
}

#[test]
fn a_silent_watch_leaves_time_for_two_calls_that_hang() {
    run_local(async {
        let followed = follow_until_first_line().await;
        let last_received_at = Instant::now();
        let mut hanging_calls = Vec::new();
        for _ in 0..3 {
            hanging_calls.push(followed.listener.accept().await.expect("a call"));
        }
        // The gateway must know of a change within 6 s, even if the watch misses it, and must respect a drain
        // 0.5 s after that.
        let elapsed = last_received_at.elapsed();
        assert!(
            elapsed < Duration::from_millis(6500),
            "{elapsed:?} after the last line"
        );
    });
}

#[test]
fn pieces_of_a_line_without_an_end_do_not_keep_a_watch_alive() {
    run_local(async {
        let FollowedDiscovery {
            listener,
            mut watch,
            _address,
        } = follow_until_first_line().await;
        let send_pieces = async move {
            while watch.write_all(b"1\r\n \r\n").await.is_ok() {
                sleep(Duration::from_millis(500)).await;
            }
            std::future::pending::<()>().await;
        };
        let next_call = async {
            timeout(TEST_TIMEOUT, listener.accept())
                .await
                .expect("the watch is opened again")
                .expect("a call");
        };
        tokio::select! {
            () = next_call => {}
            () = send_pieces => {}
        }
    });
}

/// A connection that reports a reset when the peer closes it.
struct ResetAtEnd(DuplexStream);

impl AsyncRead for ResetAtEnd {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        buf: &mut ReadBuf,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.0).poll_read(cx, buf))?;
        let ended = buf.filled().len() == before;
        Poll::Ready(if ended {
            Err(ErrorKind::ConnectionReset.into())
        } else {
            Ok(())
        })
    }
}

impl AsyncWrite for ResetAtEnd {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}

/// Answers each call with a response that has no length header and this body, and then resets the connection.
struct ResetAfterBody(&'static str);

impl Connect for ResetAfterBody {
    type Stream = ResetAtEnd;

    async fn connect(&self, _: SocketAddr) -> io::Result<ResetAtEnd> {
        let (client_end, mut service_end) = duplex(1 << 16);
        let response = format!("HTTP/1.1 200 OK\r\n\r\n{}", self.0);
        spawn_local(async move {
            let mut request = [0; 1024];
            if service_end.read(&mut request).await.is_ok_and(|n| n > 0) {
                let _ = service_end.write_all(response.as_bytes()).await;
            }
        });
        Ok(ResetAtEnd(client_end))
    }
}

#[test]
fn a_reset_does_not_complete_a_response_without_a_length() {
    run_local(async {
        tokio::time::pause();
        let address: SocketAddr = "127.0.0.1:1".parse().expect("an address");
        let updates = Rc::new(RefCell::new(Vec::new()));
        let sink = updates.clone();
        let on_update = move |update| sink.borrow_mut().push(update);
        let (_address_sender, address_receiver) = watch::channel(address);
        let schedule = PollSchedule::new(&test_configuration(address).document, 7);
        // The body looks complete, but the reset may have cut off further bytes.
        let connector = ResetAfterBody(EMPTY_LIST);
        spawn_local(discovery::follow(
            connector,
            on_update,
            address_receiver,
            None,
            schedule,
        ));
        sleep(Duration::from_secs(30)).await;
        assert!(updates.borrow().is_empty(), "{:?}", updates.borrow());
    });
}
