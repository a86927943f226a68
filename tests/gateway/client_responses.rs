//! Order of responses, and commands that the connection answers without the handler.

use crate::client_listener::*;
use crate::support::*;
use tokio::io::AsyncReadExt;

#[test]
fn responses_are_written_in_request_order() {
    run_local(async {
        let listener = ListenerFixture::start().await;
        let mut client = listener.connect().await;
        let pipelined = [request(1), request(2), PING.to_vec(), request(3)].concat();
        send(&mut client, &pipelined).await;
        listener.handler.wait_for_requests(3).await;
        for (index, answer) in [(2, "+third\r\n"), (1, "+second\r\n"), (0, "+first\r\n")] {
            listener.handler.answer(index, answer);
        }
        for expected in ["+first", "+second", "+PONG", "+third"] {
            assert_eq!(read_line(&mut client).await, expected);
        }
    });
}

#[test]
fn answer_given_during_the_event_call_is_written() {
    run_local(async {
        let listener = ListenerFixture::start().await;
        listener.handler.immediate_answer.set(Some(b"+now\r\n"));
        let mut client = listener.connect().await;
        assert_eq!(exchange(&mut client, &request(1)).await, "+now");
    });
}

#[test]
fn second_answer_to_a_request_is_ignored() {
    run_local(async {
        let listener = ListenerFixture::start().await;
        let mut client = listener.connect().await;
        send(&mut client, &request(1)).await;
        listener.handler.wait_for_requests(1).await;
        listener.handler.answer(0, "+once\r\n");
        listener.handler.answer(0, "+twice\r\n");
        assert_eq!(read_line(&mut client).await, "+once");
        assert_eq!(exchange(&mut client, PING).await, "+PONG");
    });
}

#[test]
fn request_is_rejected_as_busy_when_the_handler_has_no_capacity() {
    run_local(async {
        let listener = ListenerFixture::start().await;
        listener.handler.is_overloaded.set(true);
        let mut client = listener.connect().await;
        assert_eq!(exchange(&mut client, &request(1)).await, "-BUSY");
        assert!(listener.handler.received.borrow().is_empty());
    });
}

#[test]
fn request_with_an_active_id_is_rejected() {
    run_local(async {
        let listener = ListenerFixture::start().await;
        listener.handler.active_client_ids.borrow_mut().push(7);
        let mut client = listener.connect().await;
        assert_eq!(
            exchange(&mut client, &request(7)).await,
            "-ERR this id is open already"
        );
    });
}

#[test]
fn commands_other_than_requests_are_answered_by_the_connection() {
    run_local(async {
        let listener = ListenerFixture::start().await;
        let mut client = listener.connect().await;
        let cases = [
            (command(&["ping"]), "+PONG\r\n"),
            (command(&["PING", "echo"]), "$4\r\necho\r\n"),
            (command(&["GET", "x"]), "-ERR unknown command\r\n"),
            (command(&["q.ask", "x"]), "-ERR unknown command\r\n"),
        ];
        for (sent, expected) in cases {
            send(&mut client, &sent).await;
            let mut response = vec![0; expected.len()];
            client.read_exact(&mut response).await.expect("a response");
            assert_eq!(String::from_utf8_lossy(&response), expected);
        }
    });
}
