//! Closes that cross a request, and a configuration reload while one arrives.

use super::client_connection::ClientConnection;
use super::*;
use crate::engine::message::Message;
use crate::transport::descriptor_budget::AdminApi;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream as ClientStream};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::LocalSet;
use weldworks_balancer::Settings;
use weldworks_control::class_registry::ClassRegistry;
use weldworks_control::drain;

/// Settings with one class and these tenants.
fn settings(tenants: &[&str]) -> RequestSettings {
    let mut classes = ClassRegistry::default();
    let class = weldworks_balancer::RequestClass {
        idempotency: weldworks_balancer::Idempotency::NotIdempotent,
        ..weldworks_balancer::RequestClass::new(CLASS_DEADLINE, CLASS_DEADLINE)
    };
    classes.replace(Duration::ZERO, [("once".to_owned(), class)]);
    RequestSettings::new(&classes, tenants.iter().map(|t| (*t).to_owned()).collect(), &Settings::default())
}

const CLASS_DEADLINE: Duration = Duration::from_secs(30);

fn server() -> (Rc<Server>, UnboundedReceiver<Message>) {
    let (engine, messages) = EngineHandle::new();
    let settings = settings(&["north", "south"]);
    let drain = drain::DrainSettings { longest_deadline: Duration::from_secs(1), shared_listener: false };
    let service = Rc::new(ServiceState::new(drain, engine.clone(), Rc::default(), None));
    (
        Rc::new(Server::new(
            engine,
            settings,
            &DescriptorBudget::new(&Default::default(), AdminApi::Disabled),
            service,
        )),
        messages,
    )
}

/// A client's end of a connection, and the server's record of it.
fn connected(server: &Rc<Server>) -> (ClientStream, Rc<ClientConnection>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let client = ClientStream::connect(listener.local_addr().expect("an address")).expect("a connection");
    let (stream, _) = listener.accept().expect("a connection");
    for stream in [&stream, &client] {
        stream.set_nonblocking(true).expect("no waiting");
    }
    let stream = TcpStream::from_std(stream).expect("a stream");
    server.start_connection(stream, server.clients.acquire_permit().expect("a place"));
    let connection = server.clients.connections.borrow()[0].clone();
    (client, connection)
}

const HEALTH_REQUEST: &[u8] = b"GET /health/ready HTTP/1.1\r\nHost: front\r\n\r\n";

/// How many responses arrive, up to `limit` or the connection's end.
async fn count_responses(client: &mut ClientStream, limit: usize) -> usize {
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
        if String::from_utf8_lossy(&text).matches("HTTP/1.1 ").count() >= limit {
            break;
        }
    }
    String::from_utf8_lossy(&text).matches("HTTP/1.1 ").count()
}

/// A client writes a request after the runtime last polled the sockets, and an idle close is decided on what was known then. The
/// close must not take effect before the request is answered, or the client would have to resend it.
#[tokio::test]
async fn a_request_that_arrived_since_the_last_poll_is_answered_before_a_close() {
    let local = LocalSet::new();
    local
        .run_until(async {
            let (server, _messages) = server();
            let (mut client, connection) = connected(&server);
            client.write_all(HEALTH_REQUEST).expect("written");
            assert_eq!(count_responses(&mut client, 1).await, 1);
            for _ in 0..20 {
                client.write_all(HEALTH_REQUEST).expect("written");
                connection.is_closing.set(true);
                connection.close_requested.notify_one();
                assert_eq!(
                    count_responses(&mut client, 1).await,
                    1,
                    "it lay unread when the close was decided"
                );
            }
            // With nothing unread it is closed.
            connection.is_closing.set(true);
            connection.close_requested.notify_one();
            assert_eq!(count_responses(&mut client, 1).await, 0);
        })
        .await;
}

/// A configuration reload gives the tenants other indexes while the body of a request arrives. The request must be decided under its
/// own tenant's new index, or it would be charged to another tenant.
#[tokio::test]
async fn a_request_keeps_its_tenant_while_numbers_change() {
    let local = LocalSet::new();
    local
        .run_until(async {
            let (server, mut messages) = server();
            for (name, place) in [("south", 2), ("north", 0), ("nobody", 3)] {
                server.reconfigure(settings(&["north", "south"]));
                let (mut client, connection) = connected(&server);
                let head = format!(
                    "POST /once HTTP/1.1\r\nHost: a\r\nX-Request-ID: {name}\r\nX-Priority-Class: once\r\nX-Tenant-Id: {name}\r\n\
                     X-Timeout: 9000m\r\nContent-Length: 2\r\n\r\nb"
                );
                client.write_all(head.as_bytes()).expect("written");
                while connection.request_count.get() == 0 {
                    tokio::time::sleep(Duration::from_millis(1)).await;
                }
                server.reconfigure(settings(&["north", "east", "south"]));
                client.write_all(b"y").expect("written");
                let Some(Message::RequestArrived(arrival)) = messages.recv().await else { panic!("no request") };
                assert_eq!(arrival.request.tenant, place, "{name}");
                drop(client);
                assert!(matches!(messages.recv().await, Some(Message::ClientDisconnected(_))));
                while !server.clients.connections.borrow().is_empty() {
                    server.clients.slot_released.notified().await;
                }
            }
        })
        .await;
}
