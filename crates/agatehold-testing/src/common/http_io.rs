//! A minimal HTTP/1 server and client connections.

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

/// The largest request body that a stand-in accepts. It is above the body
/// limits of the daemon and the platform, so that a request that exceeds
/// those limits still arrives.
const BODY_MAX_BYTES: usize = 8 << 20;

/// The delay after a failed accept, for instance when the process has run out
/// of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

quick_error! {
    /// Why the server closes a connection without a response.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum CloseReason {
        /// An injected fault closes the connection.
        ByFault {
            display("connection closed by an injected fault")
        }
        /// The state thread has stopped.
        Stopped {
            display("the stand-in has stopped")
        }
        /// The request body is incomplete or larger than the server accepts.
        BodyCut {
            display("the request body is incomplete or too large")
        }
    }
}

/// The response to a request, or the reason to close the connection instead.
pub type HandlerResult = Result<Response<Full<Bytes>>, CloseReason>;

/// Accepts connections until the task is dropped and serves each with `handle`.
pub async fn serve<H, F>(listener: TcpListener, handle: H)
where
    H: Fn(Request<Bytes>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = HandlerResult> + Send + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        // If this fails, small responses may be delayed by Nagle's algorithm.
        let _ = stream.set_nodelay(true);
        tokio::spawn(serve_connection(stream, handle.clone()));
    }
}

/// Serves one connection until either side closes it.
pub async fn serve_connection<S, H, F>(stream: S, handle: H)
where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    H: Fn(Request<Bytes>) -> F + Clone + Send + 'static,
    F: Future<Output = HandlerResult> + Send + 'static,
{
    let service = service_fn(move |request: Request<Incoming>| {
        let handle = handle.clone();
        async move {
            let (head, body) = request.into_parts();
            let limited = Limited::new(body, BODY_MAX_BYTES);
            let Ok(collected) = limited.collect().await else {
                return Err(CloseReason::BodyCut);
            };
            handle(Request::from_parts(head, collected.to_bytes())).await
        }
    });
    // An error means that the connection was closed, by the client or by an
    // injected fault.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

/// Opens a client connection; `None` if that fails.
pub async fn connect(address: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
    let stream = TcpStream::connect(address).await.ok()?;
    // If this fails, small requests may be delayed by Nagle's algorithm.
    let _ = stream.set_nodelay(true);
    let io = TokioIo::new(stream);
    let (sender, connection) = client::conn::http1::handshake(io).await.ok()?;
    // Errors of the connection also reach the sender.
    tokio::spawn(connection);
    Some(sender)
}

/// Builds a response with a text body.
pub fn text_response(status: StatusCode, text: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
}

/// Builds a response with status 200 and a JSON body.
pub fn json_response(value: &serde_json::Value) -> Response<Full<Bytes>> {
    let mut response = text_response(StatusCode::OK, value.to_string());
    let json = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}
