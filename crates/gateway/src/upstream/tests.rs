//! Tests of load reports in responses, and of idle connections that their endpoint closes.

use super::pool::IDLE_CHECK_INTERVAL;
use super::*;
use crate::body::ForwardedRequest;
use crate::transport::client_liveness::ClientLiveness;
use crate::transport::descriptor_budget::{AdminApi, DescriptorBudget};
use hyper::HeaderMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{timeout, Instant};
use weldworks_balancer::load_report::LoadReportFields;
use weldworks_balancer::{LoadReport, Outcome};
use weldworks_control::hot_restart::DescriptorUsage;

fn pool(keep_alive: Duration, load_report_fields: LoadReportFields) -> ConnectionPool {
    let settings =
        ConnectionSettings { dial_timeout: Duration::from_secs(5), keep_alive, load_report_fields };
    let budget = DescriptorBudget::new(&Default::default(), AdminApi::Disabled);
    ConnectionPool::new(budget.upstream, settings, Rc::default())
}

fn endpoint(id: EndpointId, address: Option<SocketAddr>) -> UpstreamEndpoint {
    UpstreamEndpoint { id, address: Cell::new(address), accepts_requests: Cell::new(true) }
}

fn attempt(endpoint: UpstreamEndpoint) -> Attempt {
    let forward = ForwardedRequest {
        method: hyper::Method::GET,
        uri: hyper::Uri::from_static("/look"),
        headers: HeaderMap::new(),
        body: Default::default(),
    };
    Attempt {
        endpoint: Rc::new(endpoint),
        request: Rc::new(forward),
        deadline: Deadline::new(
            Instant::now() + Duration::from_secs(10),
            Instant::now() + Duration::from_secs(10),
        ),
        write_by: None,
        retry_after_write: RetryAfterWrite::Possible,
        liveness: Rc::new(ClientLiveness::without_connection()),
        cancel: Rc::default(),
        monitor: Rc::default(),
    }
}

/// Accepts a connection, answers one request, and returns the connection.
async fn answer_one(listener: &TcpListener, response: &str) -> TcpStream {
    let (mut stream, _) = listener.accept().await.expect("accept the connection");
    let _ = stream.read(&mut [0; 4096]).await;
    stream.write_all(response.as_bytes()).await.expect("write the response");
    stream
}

/// The outcome and the load report of an attempt whose response has this status and these headers.
async fn load_report_of(status: &str, headers: &str) -> (Outcome, Option<LoadReport>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a port");
    let address = listener.local_addr().expect("read the local address");
    let response = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: 2\r\n\r\nok");
    let settings = r#"{"stats":{"how":"inline","fields":["throughput","outstanding"]}}"#;
    let fields = LoadReportFields::parse(settings).expect("parse the load report fields");
    let pool = pool(Duration::from_secs(10), fields);
    let attempt = attempt(endpoint(EndpointId(0), Some(address)));
    let (result, _stream) = tokio::join!(pool.attempt(&attempt, &|_| {}), answer_one(&listener, &response));
    (result.outcome, result.load_report)
}

#[tokio::test]
async fn a_load_report_is_read_from_any_response_and_a_malformed_one_is_ignored() {
    let good = "X-Server-Load: TEXT throughput=27.5, outstanding=7\r\n";
    let report = Some(LoadReport { requests_per_second: 27.5, in_flight: 7.0 });
    assert_eq!(load_report_of("200 OK", good).await, (Outcome::Served, report));
    assert_eq!(load_report_of("500 Oops", good).await, (Outcome::Error, report));
    let twice = good.repeat(2);
    let bad =
        ["", "X-Server-Load: TEXT throughput=-1, outstanding=NaN\r\n", "X-Server-Load: \u{e9}\r\n", &twice];
    for headers in bad {
        assert_eq!(load_report_of("200 OK", headers).await, (Outcome::Served, None), "{headers:?}");
    }
}

/// Has a request served, runs `then` with the endpoint's side of the idle connection, and returns the close that the pool reports.
async fn reported_close(
    then: impl AsyncFnOnce(&ConnectionPool, &mut TcpStream),
) -> Option<ClosedIdleConnection> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a port");
    let address = listener.local_addr().expect("read the local address");
    let pool = pool(Duration::from_secs(60), LoadReportFields::default());
    let attempt = attempt(endpoint(EndpointId(3), Some(address)));
    let response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    let (result, mut stream) = tokio::join!(pool.attempt(&attempt, &|_| {}), answer_one(&listener, response));
    assert_eq!(result.outcome, Outcome::Served);
    let reported = Cell::new(None);
    tokio::select! {
        () = pool.run_expiry_loop(|closed| reported.set(Some(closed))) => {}
        () = async {
            tokio::time::sleep(4 * IDLE_CHECK_INTERVAL).await; // by now the pool watches the connection
            then(&pool, &mut stream).await;
            let start = Instant::now();
            while reported.get().is_none() && start.elapsed() < Duration::from_secs(2) {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        } => {}
    }
    reported.get()
}

#[tokio::test]
async fn a_close_by_the_endpoint_is_reported_and_stray_bytes_are_not() {
    let closed =
        reported_close(async |_, stream| stream.shutdown().await.expect("close the connection")).await;
    let closed = closed.expect("the close is reported");
    assert_eq!((closed.endpoint, closed.remaining), (EndpointId(3), 0));
    assert!(closed.idle_for >= 4 * IDLE_CHECK_INTERVAL, "{:?}", closed.idle_for);
    let stray =
        reported_close(async |_, stream| stream.write_all(b"noise").await.expect("write stray bytes")).await;
    assert_eq!(stray, None);
    assert_eq!(reported_close(async |_, _| {}).await, None);
}

/// An endpoint sends a second response 5 ms behind the first. Read as the response to the next request, it would go to the wrong client.
/// So the connection is not reused until stray bytes would have arrived, and from then on they are found, however late the pool checks.
#[tokio::test]
async fn a_connection_is_not_reused_before_a_stray_second_response_has_arrived() {
    for stray in [false, true] {
        let seen = Rc::new(Cell::new(None));
        let result = seen.clone();
        reported_close(async move |pool, stream| {
            let set_idle_for = |idle_for: Duration| {
                for connection in pool.idle.borrow_mut().iter_mut() {
                    connection.idle_since = Instant::now() - idle_for;
                }
            };
            let endpoint = endpoint(EndpointId(3), stream.local_addr().ok());
            set_idle_for(Duration::from_millis(5));
            let is_too_recent = pool.reuse(&endpoint).await.is_none();
            if stray {
                stream
                    .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray")
                    .await
                    .expect("write the stray response");
            }
            set_idle_for(Duration::from_millis(7));
            result.set(Some((is_too_recent, pool.reuse(&endpoint).await.is_some())));
        })
        .await;
        assert_eq!(seen.take(), Some((true, !stray)), "stray: {stray}");
    }
}

#[tokio::test]
async fn a_shorter_keep_alive_applies_to_idle_connections() {
    let reported = reported_close(async |pool, stream| {
        let keep_alive = Duration::from_millis(10);
        let settings = ConnectionSettings { keep_alive, ..pool.settings.borrow().clone() };
        pool.reconfigure(settings);
        let read = timeout(Duration::from_secs(30), stream.read(&mut [0; 1])).await;
        assert!(matches!(read, Ok(Ok(0))), "the pool has not closed the connection: {read:?}");
    });
    assert_eq!(reported.await, None, "the endpoint has not closed the connection");
}

/// Guards against 503 for requests of a replaced process's clients: while the other process has all descriptors for endpoints open, each
/// attempt of the successor ended at once, and a request used up all its attempts within a millisecond.
#[tokio::test]
async fn an_attempt_waits_until_the_other_process_of_a_hot_restart_releases_a_descriptor() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a port");
    let address = listener.local_addr().expect("read the local address");
    let budget = DescriptorBudget::new(&Default::default(), AdminApi::Disabled);
    let all_endpoints = DescriptorUsage { clients: 0, overflow: 0, endpoints: budget.upstream.capacity() };
    let settings = ConnectionSettings {
        dial_timeout: Duration::from_secs(5),
        keep_alive: Duration::from_secs(10),
        load_report_fields: LoadReportFields::default(),
    };
    let pool = ConnectionPool::new(budget.upstream.clone(), settings, Rc::default());
    budget.reserve_for_peer(all_endpoints);
    let attempt = attempt(endpoint(EndpointId(0), Some(address)));
    let release = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        budget.reserve_for_peer(DescriptorUsage { endpoints: all_endpoints.endpoints - 1, ..all_endpoints });
    };
    let answer = answer_one(&listener, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    let no_report = |_| {};
    let (result, (), _stream) =
        tokio::join!(pool.attempt(&attempt, &no_report), release, timeout(Duration::from_secs(5), answer));
    assert_eq!(result.outcome, Outcome::Served);
}
