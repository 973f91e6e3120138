//! The paths of the HTTP interface, with a handler for each.
//!
//! The doc comments of the handlers are published in `docs/openapi.json`. Handlers convert between HTTP and the types
//! of the daemon; `call` runs the requests.

use {
    crate::{
        pipeline::{
            api::{
                call::serve_request,
                context::ApiContext,
                headers::{CallHeaders, parse_parameter},
                problem::{ProblemBody, respond},
            },
            decision::request::Target,
            metrics,
            status_view::status_body,
        },
        shared::{
            problem::{Code, Problem},
            status::StatusBody,
        },
    },
    dropshot::{
        ApiDescription, ApiDescriptionRegisterError, Body, HttpResponseOk, Path, RequestContext,
        StreamingBody, endpoint,
    },
    http::{Response, header},
    schemars::JsonSchema,
    serde::Deserialize,
    std::sync::Arc,
};

/// Version of the interface in its OpenAPI document. Paths begin with the major version.
const INTERFACE_VERSION: semver::Version = semver::Version::new(1, 0, 0);

#[derive(Debug, Deserialize, JsonSchema)]
struct PipelinePath {
    /// Name of the pipeline.
    pipeline: String,
}

#[derive(Debug, Deserialize, JsonSchema)]
struct ServicePath {
    /// Name of the service.
    service: String,
}

/// Returns the description of the interface, which is served and from which the OpenAPI document is generated.
///
/// # Errors
///
/// Returns an error if handlers conflict, such as two for the same method and path.
pub fn describe() -> Result<ApiDescription<Arc<ApiContext>>, ApiDescriptionRegisterError> {
    let mut api = ApiDescription::new();
    api.register(run_pipeline)?;
    api.register(call_service)?;
    api.register(get_live)?;
    api.register(get_ready)?;
    api.register(get_metrics)?;
    api.register(get_status)?;
    Ok(api)
}

/// Returns the OpenAPI document.
///
/// # Panics
///
/// Panics if handlers conflict. A test builds the document, so such a conflict is found there.
pub fn openapi() -> serde_json::Value {
    let version = INTERFACE_VERSION;
    describe()
        .expect("no two handlers conflict")
        .openapi("hazelyoke", version)
        .json()
        .expect("document is JSON")
}

/// Run a pipeline
///
/// The body is the JSON input of its first stage. With `accept: text/event-stream`, a pipeline
/// that ends in a generation answers by events: `token` for each token, then exactly one `done` or
/// `problem`. A stream without one of these broke off.
#[endpoint { method = POST, path = "/v1/pipelines/{pipeline}" }]
async fn run_pipeline(
    context: RequestContext<Arc<ApiContext>>,
    path: Path<PipelinePath>,
    headers: CallHeaders,
    body: StreamingBody,
) -> Result<Response<Body>, ProblemBody> {
    let target = parse_parameter("pipeline", &path.into_inner().pipeline).map(Target::Pipeline);
    respond(serve_request(context, target, headers, body).await)
}

/// Call a plain service
///
/// The reply's status and body are passed on as they are.
#[endpoint { method = POST, path = "/v1/services/{service}" }]
async fn call_service(
    context: RequestContext<Arc<ApiContext>>,
    path: Path<ServicePath>,
    headers: CallHeaders,
    body: StreamingBody,
) -> Result<Response<Body>, ProblemBody> {
    let target = parse_parameter("service", &path.into_inner().service).map(Target::Service);
    respond(serve_request(context, target, headers, body).await)
}

/// Tell whether the process is alive
#[endpoint { method = GET, path = "/v1/live" }]
async fn get_live(_: RequestContext<Arc<ApiContext>>) -> Result<HttpResponseOk<bool>, ProblemBody> {
    Ok(HttpResponseOk(true))
}

/// Tell whether the balancer may send requests here
#[endpoint { method = GET, path = "/v1/ready" }]
async fn get_ready(
    context: RequestContext<Arc<ApiContext>>,
) -> Result<Response<Body>, ProblemBody> {
    if context.context().is_ready() {
        return respond(Ok(Response::new(Body::from("true"))));
    }
    let detail = "the daemon is starting or stopping";
    respond(Err(Problem::not_run(Code::NotReady, detail).into()))
}

/// Report metrics in the OpenMetrics text form
#[endpoint { method = GET, path = "/metrics" }]
async fn get_metrics(
    context: RequestContext<Arc<ApiContext>>,
) -> Result<Response<Body>, ProblemBody> {
    let context = context.context();
    let dropped = context.node.tracing().dropped();
    let text = context.metrics.encode(&context.node.snapshot(), dropped);
    let response = Response::builder()
        .header(header::CONTENT_TYPE, metrics::CONTENT_TYPE)
        .body(text.into())
        .expect("a fixed header is valid");
    respond(Ok(response))
}

/// Report the daemon's state, for `hazelyoke status`
#[endpoint { method = GET, path = "/v1/status" }]
async fn get_status(
    context: RequestContext<Arc<ApiContext>>,
) -> Result<HttpResponseOk<StatusBody>, ProblemBody> {
    let context = context.context();
    let body = status_body(&context.host, context.is_ready(), &context.node.snapshot());
    Ok(HttpResponseOk(body))
}
