use {
    banyantrestle::accounts::{
        AccountLimit, AccountRule, AccountTable, InvalidAccounts, KeyHasher,
    },
    std::time::{Duration, Instant},
};

fn account(name: &str) -> AccountRule {
    AccountRule {
        name: name.into(),
        priority: 0,
        limit: Some(AccountLimit {
            rate: 1.0,
            burst: 1.0,
        }),
    }
}

fn table(accounts: &[(&str, &[&str])]) -> Result<AccountTable, InvalidAccounts> {
    let accounts = accounts
        .iter()
        .map(|(name, keys)| (account(name), keys.iter().copied()));
    AccountTable::new(KeyHasher::random(), accounts)
}

#[test]
fn keys_find_their_accounts_only() {
    let table = table(&[
        ("one", &["key-1", "key-2"]),
        ("two", &["key-3"]),
        ("bare", &[]),
    ]);
    let table = table.expect("valid accounts");
    let cases = [
        ("key-1", Some("one")),
        ("key-2", Some("one")),
        ("key-3", Some("two")),
        ("KEY-3", None),
        ("key-", None),
        ("key-33", None),
        ("", None),
        ("one", None),
    ];
    for (key, name) in cases {
        let found = table.find(key.as_bytes()).map(|rule| &*rule.name);
        assert_eq!(found, name, "{key}");
    }
    assert!(table.find_name("bare").is_some());
    assert!(table.find_name("three").is_none());
}

#[test]
fn invalid_accounts_are_refused_and_no_key_is_named() {
    let shared = table(&[("one", &["secret-1"]), ("two", &["secret-1"])]);
    let shared = shared.expect_err("a shared key").to_string();
    assert!(shared.contains("one") && shared.contains("two"), "{shared}");
    assert!(!shared.contains("secret"), "{shared}");
    let empty = table(&[("one", &[""])]);
    assert_eq!(empty.err(), Some(InvalidAccounts::EmptyKey("one".into())));
}

#[test]
fn a_key_may_stand_twice_in_one_account() {
    let table = table(&[("one", &["key", "key"])]).expect("valid accounts");
    assert!(table.find(b"key").is_some());
}

#[test]
fn debug_output_holds_no_key() {
    let table = table(&[("one", &["secret-1"])]).expect("valid accounts");
    assert!(!format!("{table:?}").contains("secret"));
}

#[test]
fn ten_thousand_accounts_are_taken_in_and_found_fast() {
    let keys: Vec<[String; 2]> = (0..10_000)
        .map(|index| [format!("key-{index}-a"), format!("key-{index}-b")])
        .collect();
    let accounts = keys.iter().enumerate();
    let accounts = accounts.map(|(index, keys)| (account(&format!("account-{index}")), keys));
    let start = Instant::now();
    let table = AccountTable::new(KeyHasher::random(), accounts).expect("valid accounts");
    // Debug builds hash slowly; the figures of release builds are in docs/CAPACITY.md.
    assert!(start.elapsed() < Duration::from_secs(10));
    assert_eq!(table.len(), 10_000);
    assert!(table.find(b"key-9999-b").is_some());
    assert!(table.find(b"key-10000-b").is_none());
}
