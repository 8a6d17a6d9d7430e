//! A read that returns fewer bytes than the buffer holds does not prove that the socket is empty:
//! the kernel ends a read at a byte that was sent out of band, and may interrupt a read at any byte.
//! In each test all bytes arrive while the gateway is stopped, with an out-of-band byte in their middle, so that no event announces the second half.

use super::*;
use socket2::SockRef;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Mutex;

/// Writes the text with an out-of-band byte in its middle, which the reader does not receive.
fn write_in_two_reads(stream: &mut TcpStream, text: &[u8]) {
    let (first, second) = text.split_at(text.len() / 2);
    stream.write_all(first).expect("write of the first half failed");
    SockRef::from(&*stream).send_out_of_band(b"!").expect("send of the out-of-band byte failed");
    stream.write_all(second).expect("write of the second half failed");
}

/// A stand-in that answers its first call on a signal, in two reads, and closes the connections of all later calls at once.
fn answers_on_signal(text: String) -> (StandIn, Sender<()>, Receiver<()>) {
    let (send_signal, signal) = channel();
    let (report_written, written) = channel();
    let signal = Mutex::new(signal);
    let stand_in = StandIn::start(move |call, mut stream| {
        if call > 0 {
            return;
        }
        signal.lock().expect("lock poisoned").recv().expect("the test has ended");
        write_in_two_reads(&mut stream, text.as_bytes());
        report_written.send(()).expect("the test has ended");
        hold_until_closed(stream);
    });
    (stand_in, send_signal, written)
}

#[test]
fn request_split_over_two_reads_is_served() {
    let endpoint = ScriptedEndpoint::start(|r| Reply::Answer(200, "", r.body.clone()));
    let (gateway, _discovery) = start("short-request", &listed_thirty_times(&endpoint));
    for class in ["look", "once"] {
        let mut client = TcpStream::connect(&gateway.address).expect("connect failed");
        client.set_read_timeout(Some(LONG)).expect("set_read_timeout failed");
        gateway.signal("STOP");
        write_in_two_reads(&mut client, request(class).as_bytes());
        gateway.signal("CONT");
        let answer = weldworks_testbed::scripted::HttpMessage::read(&mut BufReader::new(client));
        assert_eq!(answer.map(|a| a.status()), Some(200), "{class}");
    }
}

#[test]
fn answer_split_over_two_reads_is_served() {
    let text = "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nin twain".to_owned();
    let (endpoint, send_signal, written) = answers_on_signal(text);
    let (gateway, _discovery) = start("short-answer", &[entry("s-1", &endpoint.address, 1, "active")]);
    let mut client = gateway.connect();
    client.send("once");
    wait_for("the attempt", || endpoint.calls() == 1);
    gateway.signal("STOP");
    send_signal.send(()).expect("the endpoint has ended");
    written.recv().expect("the answer was not written");
    gateway.signal("CONT");
    let answer = client.read().expect("no answer");
    assert_eq!((answer.status(), &answer.body[..]), (200, &b"in twain"[..]));
}

#[test]
fn list_split_over_two_reads_is_used() {
    let endpoint = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    let list = snapshot(42, &listed_thirty_times(&endpoint)).to_string() + "\n";
    let text = format!(
        "{}{:x}\r\n{list}\r\n",
        std::str::from_utf8(CHUNKED_RESPONSE_HEAD).expect("not UTF-8"),
        list.len()
    );
    let (discovery_stand_in, send_signal, written) = answers_on_signal(text);
    let mut discovery = ScriptedDiscovery::start();
    discovery.address = discovery_stand_in.address.parse().expect("invalid address");
    let gateway =
        Gateway::start_with(&PROGRAM, "short-list", &discovery, &config_with_admin_api(&discovery, &[]));
    wait_for("the watch", || discovery_stand_in.calls() == 1);
    gateway.signal("STOP");
    send_signal.send(()).expect("the discovery stand-in has ended");
    written.recv().expect("the list was not written");
    gateway.signal("CONT");
    assert_eq!(gateway.request("look").status(), 200);
    assert_eq!(discovery_stand_in.calls(), 1, "the watch was ended although the list was complete");
}

#[test]
fn admin_call_split_over_two_reads_is_answered() {
    let (gateway, _discovery) = start("short-call", &[]);
    let mut caller = gateway.connect_admin();
    gateway.signal("STOP");
    write_in_two_reads(&mut caller, b"GET /_ready HTTP/1.1\r\nHost: staff\r\n\r\n");
    gateway.signal("CONT");
    let answer =
        weldworks_testbed::scripted::HttpMessage::read(&mut BufReader::new(caller)).expect("no answer");
    assert_eq!(answer.status(), 503, "not ready, as no endpoint is listed");
}
