use {super::AccountLimit, std::sync::Arc};

/// One client account of the operator's configuration, without its keys.
#[derive(Clone, Debug, PartialEq)]
pub struct AccountRule {
    /// Name as the targets get it.
    pub name: Arc<str>,
    /// Priority of the account; 0 is the highest.
    pub priority: u8,
    /// `None` without a limit.
    pub limit: Option<AccountLimit>,
}
