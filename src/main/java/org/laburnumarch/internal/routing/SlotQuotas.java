package org.laburnumarch.internal.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/** Splits a number of slots among members by demand, with a minimum for each. */
final class SlotQuotas {
  private SlotQuotas() {}

  /**
   * Returns the slots of each member.
   *
   * <p>Each member gets at least one slot if there are enough; the others are split by demand with
   * the largest remainder method. Demand counts only up to an equal share of the slots. Above that
   * a member keeps its slots busy anyway, and the length of its queue, which changes all the time
   * and reaches the other members with a delay, would only move slots back and forth. One is added
   * to each demand so that the split changes smoothly when members become idle or busy.
   */
  static SortedMap<String, Integer> split(int slots, SortedMap<String, Integer> demandByMember) {
    SortedMap<String, Double> fractionalQuotas =
        fractionalQuotas(slots, weights(slots, demandByMember));
    SortedMap<String, Integer> quotas = new TreeMap<>();
    int assigned = 0;
    for (Map.Entry<String, Double> fractionalQuota : fractionalQuotas.entrySet()) {
      int floor = (int) Math.floor(fractionalQuota.getValue());
      quotas.put(fractionalQuota.getKey(), floor);
      assigned += floor;
    }
    List<String> membersByRemainder = new ArrayList<>(fractionalQuotas.keySet());
    membersByRemainder.sort(
        Comparator.<String>comparingDouble(
                m -> Math.floor(fractionalQuotas.get(m)) - fractionalQuotas.get(m))
            .thenComparing(Comparator.naturalOrder()));
    for (int i = 0; assigned < slots && !membersByRemainder.isEmpty(); i++, assigned++) {
      quotas.merge(membersByRemainder.get(i % membersByRemainder.size()), 1, Integer::sum);
    }
    return quotas;
  }

  private static SortedMap<String, Double> weights(
      int slots, SortedMap<String, Integer> demandByMember) {
    double equalShare = (double) slots / demandByMember.size();
    SortedMap<String, Double> weights = new TreeMap<>();
    demandByMember.forEach(
        (member, demand) -> weights.put(member, 1 + Math.min(demand, equalShare)));
    return weights;
  }

  private static SortedMap<String, Double> fractionalQuotas(
      int slots, SortedMap<String, Double> weights) {
    SortedMap<String, Double> fractionalQuotas = new TreeMap<>();
    SortedMap<String, Double> unsettled = new TreeMap<>(weights);
    double remaining = slots;
    boolean hasMinimum = slots >= weights.size();
    boolean isSettled = false;
    while (!isSettled) {
      double weight = unsettled.values().stream().mapToDouble(Double::doubleValue).sum();
      double perWeight = remaining / weight;
      List<String> belowMinimum =
          hasMinimum
              ? unsettled.keySet().stream().filter(m -> unsettled.get(m) * perWeight < 1).toList()
              : List.of();
      for (String member : belowMinimum) {
        fractionalQuotas.put(member, 1.0);
        unsettled.remove(member);
        remaining--;
      }
      isSettled = belowMinimum.isEmpty();
      if (isSettled) {
        unsettled.forEach(
            (member, memberWeight) -> fractionalQuotas.put(member, memberWeight * perWeight));
      }
    }
    return fractionalQuotas;
  }
}
