use {
    super::super::{
        CallerCredential, PlatformAdapter, RouteConfig, RouteRule, sidecar_state::SidecarState,
    },
    crate::{
        accounts::{AccountRule, KeyDigest},
        time::TimePoint,
    },
    http::HeaderMap,
    std::sync::Arc,
    strum::{Display, IntoStaticStr},
};

/// Why a request is refused for its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum AccountRefusal {
    /// It carries no key, or not in the platform's form.
    NoKey,
    /// No account of the newest configuration holds the key.
    UnknownKey,
    /// It is not known whether the configuration in force is the newest.
    Unproven,
}

/// Account of a request that carries a key.
#[derive(Clone, Debug)]
pub(crate) struct RequestAccount {
    pub(crate) rule: Arc<AccountRule>,
    key: KeyDigest,
    /// Version of the configuration by which the key was last found.
    version: u64,
    /// The key is known to be valid until then.
    pub(crate) valid_until: TimePoint,
}

/// Finds the account of a request that starts a chain; `None` if it needs no key.
pub(crate) fn check_credential<P: PlatformAdapter>(
    state: &SidecarState<P>,
    config: &RouteConfig,
    rule: &RouteRule,
    headers: &HeaderMap,
) -> Result<Option<RequestAccount>, AccountRefusal> {
    let Some(accounts) = &config.accounts else {
        return Ok(None);
    };
    if rule.is_public {
        return Ok(None);
    }
    let CallerCredential::Key(key) = state.platform.read_credential(headers) else {
        return Err(AccountRefusal::NoKey);
    };
    let key = accounts.digest(key);
    find_account(state, config, key).map(Some)
}

impl RequestAccount {
    /// Checks again before an attempt whether the key is valid; the configuration may have changed
    /// and the proof may have ended while the request waited.
    pub(crate) fn recheck<P: PlatformAdapter>(
        &mut self,
        state: &SidecarState<P>,
    ) -> Result<(), AccountRefusal> {
        let config = state.config().ok_or(AccountRefusal::Unproven)?;
        let now = state.clock.now();
        if config.version == self.version && now < self.valid_until {
            return Ok(());
        }
        let checked = find_account(state, &config, self.key)?;
        if checked.rule.name != self.rule.name {
            return Err(AccountRefusal::UnknownKey);
        }
        *self = checked;
        Ok(())
    }
}

fn find_account<P: PlatformAdapter>(
    state: &SidecarState<P>,
    config: &RouteConfig,
    key: KeyDigest,
) -> Result<RequestAccount, AccountRefusal> {
    let now = state.clock.now();
    let valid_until = state.accounts.keys_valid_until(now);
    let valid_until = valid_until.ok_or(AccountRefusal::Unproven)?;
    let accounts = config.accounts.as_ref();
    let Some(rule) = accounts.and_then(|accounts| accounts.find_digest(key)) else {
        let announced = state.membership.highest_policy().borrow().version;
        return Err(if announced > config.version {
            AccountRefusal::Unproven
        } else {
            AccountRefusal::UnknownKey
        });
    };
    Ok(RequestAccount {
        rule: rule.clone(),
        key,
        version: config.version,
        valid_until,
    })
}
