//! Closes that cross a request, and names that change while one comes.

use super::*;
use crate::engine::message::Message;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream as Plain};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::LocalSet;
use weldworks_balancer::Settings;
use weldworks_control::class_registry::ClassRegistry;
use weldworks_control::drain;

/// Terms with one class, and these tenants.
fn terms(tenants: &[&str]) -> RequestSettings {
    let mut classes = ClassRegistry::default();
    let class = weldworks_balancer::RequestClass {
        idempotency: weldworks_balancer::Idempotency::NotIdempotent,
        ..weldworks_balancer::RequestClass::new(LONGEST, LONGEST)
    };
    classes.replace(Duration::ZERO, [("once".to_owned(), class)]);
    RequestSettings::new(&classes, tenants.iter().map(|t| (*t).to_owned()).collect(), &Settings::default())
}

const LONGEST: Duration = Duration::from_secs(30);

fn server() -> (Rc<Server>, UnboundedReceiver<Message>) {
    let (gateway, messages) = EngineHandle::new();
    let terms = terms(&["north", "south"]);
    let leaving = drain::DrainSettings { longest_deadline: Duration::from_secs(1), shared_listener: false };
    let service = Rc::new(ServiceState::new(leaving, gateway.clone(), Rc::default(), None));
    (
        Rc::new(Server::new(gateway, terms, &DescriptorBudget::new(&Default::default(), false), service)),
        messages,
    )
}

/// A client's end of a connection that the server keeps, and what the server knows of it.
fn connected(server: &Rc<Server>) -> (Plain, Rc<Peer>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let client = Plain::connect(listener.local_addr().expect("an address")).expect("a connection");
    let (stream, _) = listener.accept().expect("a connection");
    for stream in [&stream, &client] {
        stream.set_nonblocking(true).expect("no waiting");
    }
    let stream = TcpStream::from_std(stream).expect("a stream");
    server.welcome(stream, server.clients.acquire().expect("a place"));
    let peer = server.peers.borrow()[0].clone();
    (client, peer)
}

const ASKED: &[u8] = b"GET /health/ready HTTP/1.1\r\nHost: front\r\n\r\n";

/// What comes until so many answers have, or the end.
async fn answers(client: &mut Plain, most: usize) -> usize {
    let (mut text, mut space) = (Vec::new(), [0; 4096]);
    loop {
        match client.read(&mut space) {
            Ok(0) => break,
            Ok(n) => text.extend_from_slice(&space[..n]),
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            Err(_) => break,
        }
        if String::from_utf8_lossy(&text).matches("HTTP/1.1 ").count() >= most {
            break;
        }
    }
    String::from_utf8_lossy(&text).matches("HTTP/1.1 ").count()
}

/// The request is written after the runtime's last look at the sockets and before the close that was decided by then: nothing
/// runs in between.
#[tokio::test]
async fn a_request_that_came_since_the_last_look_is_answered_before_a_close() {
    let local = LocalSet::new();
    local
        .run_until(async {
            let (server, _messages) = server();
            let (mut client, peer) = connected(&server);
            client.write_all(ASKED).expect("written");
            assert_eq!(answers(&mut client, 1).await, 1);
            for _ in 0..20 {
                client.write_all(ASKED).expect("written");
                peer.closing.set(true);
                peer.close.notify_one();
                assert_eq!(answers(&mut client, 1).await, 1, "it lay unread when the close was decided");
            }
            // With nothing unread it is closed.
            peer.closing.set(true);
            peer.close.notify_one();
            assert_eq!(answers(&mut client, 1).await, 0);
        })
        .await;
}

/// A new file gives the tenants other numbers while the body of a request comes: it is decided by those, under its own name.
#[tokio::test]
async fn a_request_keeps_its_tenant_while_numbers_change() {
    let local = LocalSet::new();
    local
        .run_until(async {
            let (server, mut messages) = server();
            for (name, place) in [("south", 2), ("north", 0), ("nobody", 3)] {
                server.reconfigure(terms(&["north", "south"]));
                let (mut client, peer) = connected(&server);
                let head = format!(
                    "POST /once HTTP/1.1\r\nHost: a\r\nX-Request-ID: {name}\r\nX-Priority-Class: once\r\nX-Tenant-Id: {name}\r\n\
                     X-Timeout: 9000m\r\nContent-Length: 2\r\n\r\nb"
                );
                client.write_all(head.as_bytes()).expect("written");
                while peer.asked.get() == 0 {
                    tokio::time::sleep(Duration::from_millis(1)).await;
                }
                server.reconfigure(terms(&["north", "east", "south"]));
                client.write_all(b"y").expect("written");
                let Some(Message::RequestArrived(arrival)) = messages.recv().await else { panic!("no request") };
                assert_eq!(arrival.request.tenant, place, "{name}");
                drop(client);
                assert!(matches!(messages.recv().await, Some(Message::ClientDisconnected(_))));
                while !server.peers.borrow().is_empty() {
                    server.left.notified().await;
                }
            }
        })
        .await;
}
