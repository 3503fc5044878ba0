//! Results as text for people.

use std::fmt::Write;

use crate::{
    account::Account,
    commands::{
        compare::Round,
        run::RunResult, //
    },
    statistics::{
        Distribution,
        Statistics, //
    },
};

/// One figure of a run.
type Figure = fn(&Statistics) -> f64;

/// Returns one run as a table.
pub fn of_run(result: &RunResult) -> String {
    let statistics = &result.statistics;
    let mut text = String::new();
    let _ = writeln!(
        text,
        "{:<16}{:>8}{:>10}{:>10}{:>10}{:>10}  ms",
        "", "count", "p50", "p90", "p99", "max"
    );
    for (name, distribution) in distributions(statistics) {
        let _ = writeln!(text, "{}", line(name, distribution));
    }
    let _ = writeln!(
        text,
        "goodput {:.1}/s, {:.0} tokens/s, {:.1} s",
        statistics.goodput_per_second, statistics.tokens_per_second, statistics.elapsed_s
    );
    text.push_str(&of_account(&result.account));
    text
}

fn distributions(statistics: &Statistics) -> [(&'static str, &Distribution); 5] {
    [
        ("first token", &statistics.first_token),
        ("between tokens", &statistics.between_tokens),
        ("whole answer", &statistics.whole_answer),
        ("receipt", &statistics.receipt),
        ("sent late by", &statistics.lateness),
    ]
}

fn line(name: &str, distribution: &Distribution) -> String {
    let ms = |us: u64| us as f64 / 1_000.0;
    format!(
        "{name:<16}{:>8}{:>10.2}{:>10.2}{:>10.2}{:>10.2}",
        distribution.count,
        ms(distribution.p50_us),
        ms(distribution.p90_us),
        ms(distribution.p99_us),
        ms(distribution.max_us),
    )
}

/// Returns an account as text.
pub fn of_account(account: &Account) -> String {
    let mut text = String::new();
    let _ = writeln!(
        text,
        "{} requests: {} answered, refused {:?}, {} broken and told, {} resent; {} runs started",
        account.requests,
        account.answered,
        account.refused_by_code,
        account.broken_and_told,
        account.resent,
        account.runs_started,
    );
    if account.is_clean() {
        text.push_str("account: clean\n");
        return text;
    }
    for (kind, count) in &account.violations {
        let _ = writeln!(text, "VIOLATION {count} x {kind}");
    }
    for violation in &account.listed {
        let (kind, request) = (violation.kind, &violation.request);
        let _ = writeln!(text, "  {request}: {kind}: {}", violation.detail);
    }
    text
}

/// Returns both setups of a comparison side by side.
pub fn of_rounds(rounds: &[Round]) -> String {
    let mut text = String::new();
    let figures: [(&str, Figure); 4] = [
        ("first token p50", |s| s.first_token.p50_us as f64),
        ("first token p99", |s| s.first_token.p99_us as f64),
        ("whole answer p99", |s| s.whole_answer.p99_us as f64),
        ("goodput", |s| s.goodput_per_second),
    ];
    for (name, figure) in figures {
        let ratio = |round: &Round| {
            figure(&round.second.statistics) / figure(&round.first.statistics).max(1e-9)
        };
        let mut ratios: Vec<_> = rounds.iter().map(ratio).collect();
        ratios.sort_by(f64::total_cmp);
        let median = ratios.get(ratios.len() / 2).copied().unwrap_or(f64::NAN);
        let least = ratios.first().copied().unwrap_or(f64::NAN);
        let most = ratios.last().copied().unwrap_or(f64::NAN);
        let _ = writeln!(
            text,
            "{name:<20} second/first {median:.3} ({least:.3} to {most:.3})"
        );
    }
    for (index, round) in rounds.iter().enumerate() {
        for (name, result) in [("first", &round.first), ("second", &round.second)] {
            let _ = write!(
                text,
                "round {index} {name}: {}",
                of_account(&result.account)
            );
        }
    }
    text
}
