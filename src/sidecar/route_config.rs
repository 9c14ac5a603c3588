use {
    super::{RouteRule, rank_scale::RankScale},
    crate::accounts::{AccountRule, AccountTable},
    std::{collections::HashMap, sync::Arc, time::Duration},
};

/// Limits on the requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    pub header_bytes: usize,
    pub body_bytes: usize,
    /// Timeout for the header of one request.
    pub header_timeout: Duration,
    /// Maximum idle time of a connection.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One version of the operator's configuration, indexed for look-ups.
#[derive(Clone, Debug, Default)]
pub struct RouteConfig {
    pub version: u64,
    pub limits: CallerLimits,
    hosts: HashMap<String, HashMap<String, Arc<RouteRule>>>,
    /// Client accounts; `None` if requests need no key.
    pub accounts: Option<AccountTable>,
    ranks: RankScale,
    /// The longest time that a route allows a request.
    pub longest_timeout: Duration,
}

impl RouteConfig {
    #[must_use]
    pub fn new(
        version: u64,
        limits: CallerLimits,
        rules: impl IntoIterator<Item = RouteRule>,
    ) -> Self {
        let mut hosts: HashMap<String, HashMap<String, Arc<RouteRule>>> = HashMap::new();
        let mut route_ranks = Vec::new();
        let mut longest_timeout = Duration::ZERO;
        for rule in rules {
            longest_timeout = longest_timeout.max(rule.timeout);
            route_ranks.push(rule.rank);
            let prefixes = hosts.entry(rule.host.to_ascii_lowercase()).or_default();
            prefixes.insert(rule.prefix.clone(), Arc::new(rule));
        }
        Self {
            version,
            limits,
            hosts,
            accounts: None,
            ranks: RankScale::new(route_ranks),
            longest_timeout,
        }
    }

    /// Adds the client accounts; requests of routes that are not public need a key then.
    #[must_use]
    pub fn with_accounts(mut self, accounts: AccountTable) -> Self {
        let priorities = accounts.accounts().map(|account| account.priority);
        self.ranks = self.ranks.with_account_priorities(priorities.collect());
        self.accounts = Some(accounts);
        self
    }

    /// Rank of a request: by the priority of its account first, by its route second.
    #[must_use]
    pub fn request_rank(&self, rule: &RouteRule, account: Option<&AccountRule>) -> u8 {
        let priority = account.map(|account| account.priority);
        self.ranks.rank(priority, rule.rank)
    }

    /// Whether requests of this rank go before others.
    #[must_use]
    pub fn is_urgent(&self, rank: u8) -> bool {
        rank > self.ranks.lowest()
    }

    /// Finds the rule of the host with the longest prefix of `path`; a port in `host` is ignored.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let prefixes = match self.hosts.get(name) {
            Some(prefixes) => prefixes,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        let mut prefix_lengths = path.rmatch_indices('/').map(|(index, _)| index + 1);
        prefix_lengths.find_map(|length| prefixes.get(&path[..length]))
    }
}
