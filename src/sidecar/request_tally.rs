use {
    super::local_response::RequestFailure,
    http::{Response, StatusCode},
    metrics::counter,
    slog::Logger,
    std::{
        collections::BTreeMap,
        sync::{Mutex, PoisonError},
        time::Duration,
    },
    strum::{Display, EnumCount, EnumIter, IntoEnumIterator, IntoStaticStr},
};

/// Maximum number of routes that are counted apart; the others are counted together.
const MAX_ROUTES: usize = 256;
/// Name under which requests of further routes are counted.
const OTHER_ROUTES: &str = "(others)";

/// How a request that starts a chain ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumCount, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum RequestEnd {
    /// A complete response within the latency objective of the route.
    InTime,
    Late,
    /// The target's own failure.
    TargetFailed,
    /// Refused by the admission at the ingress sidecar.
    Refused,
    /// Admitted, and not run by any target.
    NotRun,
    TimedOut,
    /// It may have run, and its outcome is unknown.
    Unknown,
    /// Refused for its key, its body or the configuration.
    Rejected,
    /// The caller left before the response.
    Abandoned,
}

impl RequestEnd {
    pub(crate) fn of_response(status: StatusCode, elapsed: Duration, objective: Duration) -> Self {
        if !status.is_success() {
            Self::TargetFailed
        } else if elapsed <= objective {
            Self::InTime
        } else {
            Self::Late
        }
    }

    pub(crate) const fn of_failure(failure: RequestFailure) -> Self {
        match failure {
            RequestFailure::NoCapacity | RequestFailure::NoMemory => Self::Refused,
            RequestFailure::NotRun | RequestFailure::ShuttingDown => Self::NotRun,
            RequestFailure::DeadlinePassed => Self::TimedOut,
            RequestFailure::Unknown => Self::Unknown,
            RequestFailure::NoConfig
            | RequestFailure::NoRoute
            | RequestFailure::BodyTooLarge
            | RequestFailure::BodyLate
            | RequestFailure::NoKey
            | RequestFailure::UnknownKey
            | RequestFailure::KeyUnproven
            | RequestFailure::ParentUnknown
            | RequestFailure::QuotaExhausted
            | RequestFailure::QuotaUnknown
            | RequestFailure::TooDeep
            | RequestFailure::CrashesTargets => Self::Rejected,
        }
    }
}

type EndCounts = [u32; RequestEnd::COUNT];

/// Requests that started a chain here, by route and by how they ended, since the last report.
#[derive(Debug, Default)]
pub(crate) struct RequestTally {
    routes: Mutex<BTreeMap<String, EndCounts>>,
}

/// A request that counts as abandoned if it is dropped before it has ended.
#[derive(Debug)]
pub(crate) struct TalliedRequest<'a> {
    tally: &'a RequestTally,
    route: &'a str,
    end: RequestEnd,
}

impl RequestTally {
    pub(crate) fn start<'a>(&'a self, route: &'a str) -> TalliedRequest<'a> {
        TalliedRequest {
            tally: self,
            route,
            end: RequestEnd::Abandoned,
        }
    }

    fn record(&self, route: &str, end: RequestEnd) {
        let mut routes = self.routes.lock().unwrap_or_else(PoisonError::into_inner);
        let is_counted_apart = routes.contains_key(route) || routes.len() < MAX_ROUTES;
        let name = if is_counted_apart {
            route
        } else {
            OTHER_ROUTES
        };
        if let Some(counts) = routes.get_mut(name) {
            counts[end as usize] += 1;
            return;
        }
        let mut counts = EndCounts::default();
        counts[end as usize] = 1;
        routes.insert(name.to_owned(), counts);
    }

    /// Writes the counts to the log and the metrics and starts anew.
    pub(crate) fn report(&self, logger: &Logger) {
        let routes = {
            let mut routes = self.routes.lock().unwrap_or_else(PoisonError::into_inner);
            std::mem::take(&mut *routes)
        };
        for (route, counts) in routes {
            for end in RequestEnd::iter() {
                let count = counts[end as usize];
                if count > 0 {
                    let end: &'static str = end.into();
                    counter!("banyantrestle_requests_total", "route" => route.clone(), "end" => end)
                        .increment(count.into());
                }
            }
            let count = |end: RequestEnd| counts[end as usize];
            slog::info!(logger, "requests ended"; "route" => route,
                "in_time" => count(RequestEnd::InTime), "late" => count(RequestEnd::Late),
                "target_failed" => count(RequestEnd::TargetFailed),
                "refused" => count(RequestEnd::Refused), "not_run" => count(RequestEnd::NotRun),
                "timed_out" => count(RequestEnd::TimedOut),
                "unknown" => count(RequestEnd::Unknown),
                "rejected" => count(RequestEnd::Rejected),
                "abandoned" => count(RequestEnd::Abandoned));
        }
    }
}

impl TalliedRequest<'_> {
    /// Counts the result of the request.
    pub(crate) fn finish<B>(
        mut self,
        result: Result<&Response<B>, RequestFailure>,
        elapsed: Duration,
        objective: Duration,
    ) {
        self.end = match result {
            Ok(response) => RequestEnd::of_response(response.status(), elapsed, objective),
            Err(failure) => RequestEnd::of_failure(failure),
        };
    }
}

impl Drop for TalliedRequest<'_> {
    fn drop(&mut self) {
        self.tally.record(self.route, self.end);
    }
}
