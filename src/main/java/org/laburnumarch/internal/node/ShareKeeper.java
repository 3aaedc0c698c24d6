package org.laburnumarch.internal.node;

import java.io.IOException;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import org.laburnumarch.internal.metrics.Meters;
import org.laburnumarch.internal.share.PoolShares;
import org.laburnumarch.internal.share.SharesRecord;
import org.laburnumarch.internal.share.TeamShares;
import org.tinylog.Logger;

/**
 * Stores the teams' shares for the next owner and reports them in the log and the metrics. Does
 * nothing while no pool is full.
 */
final class ShareKeeper {

  /** Name of the stored record. */
  static final String STATE_NAME = "shares";

  /** Time between two records, and between two log lines of a team. */
  private static final long REPORT_EVERY_MS = 2_000;

  private final TeamShares shares;
  private final AdmissionControl admission;
  private final JobStore jobs;
  private final Meters meters;

  /** Values of the gauges by name; read by the thread that renders the metrics. */
  private final Map<String, Double> gauges = new ConcurrentHashMap<>();

  private long reportedAtMs = Long.MIN_VALUE / 2;
  private boolean wasFull;

  ShareKeeper(TeamShares shares, AdmissionControl admission, JobStore jobs, Meters meters) {
    this.shares = shares;
    this.admission = admission;
    this.jobs = jobs;
    this.meters = meters;
  }

  /** Continues from what an earlier owner has stored; begins anew if that cannot be read. */
  void restore(Map<String, byte[]> states, long nowMs, long epochMs) {
    byte[] stored = states.get(STATE_NAME);
    if (stored == null) {
      return;
    }
    try {
      SharesRecord decoded = SharesRecord.decode(stored);
      shares.restore(decoded, nowMs, epochMs);
      admission.restore(decoded.invitationBytes(), nowMs, epochMs);
      Logger.info("shares: event=restored bytes={}", stored.length);
    } catch (IOException e) {
      Logger.warn("shares: event=unreadable bytes={} cause={}", stored.length, e.getMessage());
    }
  }

  /** Stores and reports the shares if it is time for it. */
  void runRound(long nowMs, long epochMs) {
    Map<String, PoolShares> full = shares.fullPools(nowMs);
    wasFull |= !full.isEmpty();
    if (!wasFull || nowMs - reportedAtMs < REPORT_EVERY_MS) {
      return;
    }
    reportedAtMs = nowMs;
    wasFull = !full.isEmpty();
    byte[] record = shares.record(admission.record(nowMs, epochMs), nowMs, epochMs).encode();
    if (record.length <= OwnerState.MAX_BYTES) {
      jobs.storeState(new OwnerState(STATE_NAME, record));
    } else {
      Logger.warn("shares: event=too-long bytes={}", record.length);
    }
    new TreeMap<>(full).forEach((service, pool) -> report(service, pool, nowMs));
  }

  private void report(String service, PoolShares pool, long nowMs) {
    Map<String, Double> used = pool.usedFractions();
    Map<String, Double> debtsMs = pool.debts();
    new TreeMap<>(pool.waitingSinceMs())
        .forEach(
            (team, sinceMs) -> {
              double share = shares.weights().shareFraction(team);
              double use = used.getOrDefault(team, 0.0);
              double debtMs = debtsMs.getOrDefault(team, 0.0);
              long waitedMs = nowMs - sinceMs;
              Logger.info(
                  "shares: event=team pool={} team={} share={} use={} debt_ms={} credit={}"
                      + " waited_ms={}",
                  service,
                  team,
                  String.format(Locale.ROOT, "%.3f", share),
                  String.format(Locale.ROOT, "%.3f", use),
                  Math.round(debtMs),
                  String.format(Locale.ROOT, "%.1f", shares.credit(team, nowMs)),
                  waitedMs);
              String labels = "{pool=\"" + service + "\",team=\"" + team + "\"}";
              set("team_share_ratio" + labels, share);
              set("team_use_ratio" + labels, use);
              set("team_debt_ms" + labels, debtMs);
              set("team_wait_ms" + labels, (double) waitedMs);
            });
  }

  private void set(String gauge, double value) {
    if (gauges.put(gauge, value) == null) {
      meters.registerGauge(gauge, () -> gauges.get(gauge));
    }
  }
}
