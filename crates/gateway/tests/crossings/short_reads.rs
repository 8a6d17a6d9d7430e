//! A read that returns less than there was room for does not prove that the socket is empty: the kernel ends a read at a byte that
//! was sent out of band, and may be interrupted anywhere. Each test has all bytes arrive while the gateway is stopped, with such
//! a byte in their middle, so that nothing announces the second half.

use super::*;
use socket2::SockRef;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Mutex;

/// Writes the text with a byte out of band in its middle, which no reader is given.
fn write_in_two_reads(stream: &mut TcpStream, text: &[u8]) {
    let (first, second) = text.split_at(text.len() / 2);
    stream.write_all(first).expect("the first half");
    SockRef::from(&*stream).send_out_of_band(b"!").expect("a byte out of band");
    stream.write_all(second).expect("the second half");
}

/// A peer that answers its first call, in two reads, once it is told to; a later one ends at once.
fn answers_when_told(text: String) -> (Agent, Sender<()>, Receiver<()>) {
    let (tell, told) = channel();
    let (done, written) = channel();
    let told = Mutex::new(told);
    let agent = Agent::start(move |call, mut stream| {
        if call > 0 {
            return;
        }
        told.lock().expect("lock").recv().expect("a word");
        write_in_two_reads(&mut stream, text.as_bytes());
        done.send(()).expect("a test");
        hold(stream);
    });
    (agent, tell, written)
}

#[test]
fn a_request_that_comes_in_two_reads_is_served() {
    let host = ScriptedEndpoint::start(|r| Reply::Answer(200, "", r.body.clone()));
    let (gateway, _discovery) = start("short-request", &crowd(&host));
    for class in ["look", "once"] {
        let mut client = TcpStream::connect(&gateway.address).expect("a connection");
        client.set_read_timeout(Some(LONG)).expect("a time-out");
        gateway.signal("STOP");
        write_in_two_reads(&mut client, request(class).as_bytes());
        gateway.signal("CONT");
        let answer = weldworks_testbed::scripted::HttpMessage::read(&mut BufReader::new(client));
        assert_eq!(answer.map(|a| a.status()), Some(200), "{class}");
    }
}

#[test]
fn an_answer_that_comes_in_two_reads_is_served() {
    let text = "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nin twain".to_owned();
    let (host, tell, written) = answers_when_told(text);
    let (gateway, _discovery) = start("short-answer", &[entry("s-1", &host.address, 1, "active")]);
    let mut client = gateway.connect();
    client.send("once");
    wait_for("the attempt", || host.calls() == 1);
    gateway.signal("STOP");
    tell.send(()).expect("a host");
    written.recv().expect("an answer");
    gateway.signal("CONT");
    let answer = client.read().expect("an answer");
    assert_eq!((answer.status(), &answer.body[..]), (200, &b"in twain"[..]));
}

#[test]
fn a_list_that_comes_in_two_reads_is_taken() {
    let host = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    let list = whole(42, &crowd(&host)).to_string() + "\n";
    let text = format!("{}{:x}\r\n{list}\r\n", std::str::from_utf8(HEAD).expect("a head"), list.len());
    let (register, tell, written) = answers_when_told(text);
    let mut discovery = ScriptedDiscovery::start();
    discovery.address = register.address.parse().expect("an address");
    let gateway = Gateway::start_with(&PROGRAM, "short-list", &discovery, &managed(&discovery, &[]));
    wait_for("the watch", || register.calls() == 1);
    gateway.signal("STOP");
    tell.send(()).expect("a register");
    written.recv().expect("a list");
    gateway.signal("CONT");
    assert_eq!(gateway.ask("look").status(), 200);
    assert_eq!(register.calls(), 1, "the watch was given up over a list that had come whole");
}

#[test]
fn a_call_that_comes_in_two_reads_is_answered() {
    let (gateway, _discovery) = start("short-call", &[]);
    let mut caller = gateway.connect_admin();
    gateway.signal("STOP");
    write_in_two_reads(&mut caller, b"GET /_ready HTTP/1.1\r\nHost: staff\r\n\r\n");
    gateway.signal("CONT");
    let answer =
        weldworks_testbed::scripted::HttpMessage::read(&mut BufReader::new(caller)).expect("an answer");
    assert_eq!(answer.status(), 503, "it knows no host, and says so");
}
