//! Discovery: frames of a watch, and calls that fail.

use crate::support::*;
use marlshelf::gateway::backoff::Backoff;
use marlshelf::gateway::discovery::{self, Connect, Frame, FrameDecoder, Tcp};
use marlshelf::gateway::event_loop::Gateway;
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

/// What the pieces make whole: how many workers are listed, and how many empty lines there are.
fn read(pieces: &[&str]) -> Result<(usize, usize), String> {
    let (mut frames, mut workers, mut empty) = (FrameDecoder::default(), 0, 0);
    for piece in pieces
        .iter()
        .flat_map(|p| p.as_bytes().split_inclusive(|b| *b == b'\n'))
    {
        match frames.decode(piece)? {
            Some(Frame::Update(update)) => workers += update.endpoints.len(),
            Some(Frame::KeepAlive) => empty += 1,
            None => {}
        }
    }
    Ok((workers, empty))
}

const INDENTED: &str = r#"{
  "rev": 43,
  "targets": [
{
  "uid": "s-1", "endpoint": "127.0.0.1:1", "pod_group": 0, "state": "ready"
}
  ]
}
"#;

#[test]
fn a_watch_may_be_indented_and_come_in_any_pieces() {
    let flat = INDENTED.replace(['\n', ' '], "") + "\n";
    assert_eq!(read(&[&flat, "\n", &flat]), Ok((2, 1)));
    assert_eq!(read(&["\n", INDENTED, "\r\n", INDENTED, "\n"]), Ok((2, 3)));
    for cut in 1..INDENTED.len() {
        let (head, tail) = INDENTED.split_at(cut);
        assert_eq!(read(&[head, tail, &flat, "\n"]), Ok((2, 1)), "cut at {cut}");
    }
}

#[test]
fn a_list_that_breaks_off_is_no_list() {
    for cut in 1..INDENTED.trim_end().len() {
        let head = INDENTED.split_at(cut).0;
        assert!(
            read(&[head, "\n\n"]).is_err(),
            "cut at {cut}, then a sign of life"
        );
    }
    assert!(read(&["{nonsense\n"]).is_err());
    assert!(read(&["7\n"]).is_err());
}

/// A gatekeeper follows this discovery, whose first watch has been given its first line.
async fn followed() -> (TcpListener, TcpStream, watch::Sender<SocketAddr>) {
    const LIST: &str = r#"{"rev":1,"all":true,"targets":[]}"#;
    tokio::time::pause();
    let listener = TcpListener::bind(ANY).await.expect("a port");
    let at = listener.local_addr().expect("bound");
    let config = config(at);
    let backoff = Backoff::new(&config.document, 7);
    let gateway = Gateway::new(config, None, 8).expect("sound settings");
    let (moved, at) = watch::channel(at);
    let take = move |update| gateway.borrow_mut().endpoints_changed(update);
    spawn_local(discovery::follow(Tcp, take, at, None, backoff));
    let (mut stream, _) = listener.accept().await.expect("a call");
    stream.set_nodelay(true).expect("a socket");
    let mut asked = [0; 1024];
    assert!(stream.read(&mut asked).await.is_ok_and(|n| n > 0));
    let whole = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{LIST}",
        LIST.len()
    );
    stream.write_all(whole.as_bytes()).await.expect("written");
    assert!(stream.read(&mut asked).await.is_ok_and(|n| n > 0));
    let chunk = format!("{:x}\r\n{LIST}\n\r\n", LIST.len() + 1);
    let line = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunk}");
    stream.write_all(line.as_bytes()).await.expect("written");
    (listener, stream, moved)
}

#[test]
fn a_silent_watch_leaves_time_for_two_calls_that_hang_as_well() {
    play(async {
        let (listener, _stream, _moved) = followed().await;
        let heard = Instant::now();
        let mut calls = Vec::new();
        for _ in 0..3 {
            calls.push(listener.accept().await.expect("a call"));
        }
        // What it misses counts as told after 6 s, and a drain must be kept half a second later.
        let passed = heard.elapsed();
        assert!(
            passed < Duration::from_millis(6500),
            "{passed:?} after its last word"
        );
    });
}

#[test]
fn pieces_of_a_line_that_never_ends_do_not_keep_a_watch_alive() {
    play(async {
        let (listener, mut stream, _moved) = followed().await;
        let endless = async move {
            while stream.write_all(b"1\r\n \r\n").await.is_ok() {
                sleep(Duration::from_millis(500)).await;
            }
            std::future::pending().await
        };
        let again = async {
            timeout(LONG, listener.accept())
                .await
                .expect("it is opened anew")
                .expect("a call");
        };
        tokio::select! {
            () = again => {}
            () = endless => {}
        }
    });
}

/// A connection that is reset where its other end ends it.
struct Resets(DuplexStream);

impl AsyncRead for Resets {
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

impl AsyncWrite for Resets {
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

/// Each call is answered with a head that tells no length and then with these bytes, and reset.
struct Cuts(&'static str);

impl Connect for Cuts {
    type Stream = Resets;

    async fn connect(&self, _: SocketAddr) -> io::Result<Resets> {
        let (near, mut far) = duplex(1 << 16);
        let body = self.0;
        spawn_local(async move {
            let mut asked = [0; 1024];
            if far.read(&mut asked).await.is_ok_and(|n| n > 0) {
                let _ = far
                    .write_all(format!("HTTP/1.1 200 OK\r\n\r\n{body}").as_bytes())
                    .await;
            }
        });
        Ok(Resets(near))
    }
}

#[test]
fn an_answer_that_tells_no_length_is_not_ended_by_a_reset() {
    play(async {
        tokio::time::pause();
        let at = "127.0.0.1:1".parse().expect("an address");
        let cut = |body| {
            let (taken, (moves, address)) = (Rc::new(RefCell::new(Vec::new())), watch::channel(at));
            let kept = taken.clone();
            let take = move |update| kept.borrow_mut().push(update);
            let backoff = Backoff::new(&config(at).document, 7);
            spawn_local(discovery::follow(Cuts(body), take, address, None, backoff));
            (taken, moves)
        };
        // For all that has come it could be whole; what more there was is lost.
        let (list, _moves) = cut(r#"{"rev":1,"all":true,"targets":[]}"#);
        sleep(Duration::from_secs(30)).await;
        assert!(list.borrow().is_empty(), "{:?}", list.borrow());
    });
}
