//! HTTP/1 service over a listener, and connections to one.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper::client;
use hyper::client::conn::http1::SendRequest;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use quick_error::quick_error;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// The largest request body that a double takes; above the limits of the
/// daemon and the platform, so that a request over them still arrives.
const BODY_MAX_BYTES: usize = 8 << 20;

/// The pause after a failed accept, such as for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

quick_error! {
    /// The connection ends without an answer.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum Closed {
        /// A fault that was switched on.
        ByFault {
            display("closed by a switched fault")
        }
        /// The owner of the state has stopped.
        Stopped {
            display("the double has stopped")
        }
        /// The request body was not received whole.
        BodyCut {
            display("the request body was not received whole")
        }
    }
}

/// An answer, or the end of the connection in its place.
pub type Reply = Result<Response<Full<Bytes>>, Closed>;

/// Accepts connections for ever and serves each with `handle`.
pub async fn serve<H, F>(listener: TcpListener, handle: H)
where
    H: Fn(Request<Bytes>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        // A failure only means that small answers wait for an acknowledgement.
        let _ = stream.set_nodelay(true);
        tokio::spawn(serve_connection(stream, handle.clone()));
    }
}

/// Serves one connection until it ends.
pub async fn serve_connection<S, H, F>(stream: S, handle: H)
where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    H: Fn(Request<Bytes>) -> F + Clone + Send + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    let service = service_fn(move |request: Request<Incoming>| {
        let handle = handle.clone();
        async move {
            let (head, body) = request.into_parts();
            let limited = Limited::new(body, BODY_MAX_BYTES);
            let Ok(collected) = limited.collect().await else {
                return Err(Closed::BodyCut);
            };
            handle(Request::from_parts(head, collected.to_bytes())).await
        }
    });
    // An error is the end of the connection by either side, which is what a
    // switched fault asks for.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

/// Opens a connection for requests; `None` if that fails.
pub async fn connect(address: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
    let stream = TcpStream::connect(address).await.ok()?;
    // A failure only means that small requests wait for an acknowledgement.
    let _ = stream.set_nodelay(true);
    let io = TokioIo::new(stream);
    let (sender, connection) = client::conn::http1::handshake(io).await.ok()?;
    // The sender learns of the connection's end, too.
    tokio::spawn(connection);
    Some(sender)
}

/// Builds an answer with a text.
pub fn text_response(status: StatusCode, text: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
}

/// Builds a successful answer with a JSON value.
pub fn json_response(value: &serde_json::Value) -> Response<Full<Bytes>> {
    let mut response = text_response(StatusCode::OK, value.to_string());
    let json = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}
