use {
    banyantrestle::context::ServiceName,
    std::fmt::{self, Display, Formatter},
};

/// Length of a response whose path gives none, in bytes.
pub const DEFAULT_RESPONSE_BYTES: u64 = 256;

/// Path and query of a call, in the form `/name?bytes=N&via=service,service`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallPath {
    pub name: String,
    /// Length of the response body.
    pub response_bytes: u64,
    /// Services that the chain still calls, in order; if empty, the target calls those of its
    /// settings.
    pub via: Vec<ServiceName>,
}

impl CallPath {
    #[must_use]
    pub fn new(name: &str) -> Self {
        Self {
            name: name.trim_start_matches('/').into(),
            response_bytes: DEFAULT_RESPONSE_BYTES,
            via: Vec::new(),
        }
    }

    #[must_use]
    pub fn with_response_bytes(self, response_bytes: u64) -> Self {
        Self {
            response_bytes,
            ..self
        }
    }

    #[must_use]
    pub fn with_via(self, via: Vec<ServiceName>) -> Self {
        Self { via, ..self }
    }

    /// Parses a path and its query; unknown parameters and invalid service names are ignored.
    #[must_use]
    pub fn parse(text: &str) -> Self {
        let (name, query) = text.split_once('?').unwrap_or((text, ""));
        let mut path = Self::new(name);
        for pair in query.split('&') {
            match pair.split_once('=') {
                Some(("bytes", value)) => {
                    path.response_bytes = value.parse().unwrap_or(DEFAULT_RESPONSE_BYTES);
                }
                Some(("via", value)) => path.via = parse_services(value),
                _ => {}
            }
        }
        path
    }

    /// Returns the next service of the chain and the path of the call to it.
    #[must_use]
    pub fn next_hop(&self) -> Option<(ServiceName, Self)> {
        let (service, rest) = self.via.split_first()?;
        let path = Self::new(&self.name).with_via(rest.to_vec());
        Some((service.clone(), path))
    }
}

impl Display for CallPath {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "/{}?bytes={}", self.name, self.response_bytes)?;
        for (index, service) in self.via.iter().enumerate() {
            let separator = if index == 0 { "&via=" } else { "," };
            write!(formatter, "{separator}{service}")?;
        }
        Ok(())
    }
}

fn parse_services(text: &str) -> Vec<ServiceName> {
    text.split(',')
        .filter_map(|name| ServiceName::new(name).ok())
        .collect()
}
