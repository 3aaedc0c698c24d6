package org.laburnumarch.internal.emulator;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.laburnumarch.spi.ListedInstance;
import org.laburnumarch.spi.PoolControl;

/** The current instances with their statuses, and the earlier copy that the list shows. */
final class InstanceTable {

  private final Map<String, ListedInstance> instancesById = new LinkedHashMap<>();
  private final Map<String, PoolControl.Status> statuses = new LinkedHashMap<>();
  private final Set<String> failingReboots = new HashSet<>();
  private List<ListedInstance> visible = List.of();

  /** Adds an instance or replaces the one with the same id. */
  synchronized void add(JsonNode item) {
    ListedInstance added =
        new ListedInstance(
            item.path("id").asText(),
            ListedInstance.Kind.valueOf(item.path("kind").asText()),
            item.path("dataCentre").asText(),
            item.path("rack").asText(),
            item.path("address").asText(),
            item.path("pool").asText(""),
            ListedInstance.State.valueOf(item.path("state").asText("LIVE")));
    if (added.id().isEmpty() || added.address().isEmpty()) {
      throw new IllegalArgumentException("an instance needs an id and an address: " + item);
    }
    instancesById.put(added.id(), added);
    statuses.put(added.id(), PoolControl.Status.SERVING);
  }

  /** Removes an instance. */
  synchronized void remove(String id) {
    instancesById.remove(id);
    statuses.remove(id);
  }

  /** Changes the state of an instance; an unknown one is ignored. */
  synchronized void setState(String id, ListedInstance.State state) {
    instancesById.computeIfPresent(
        id,
        (key, old) ->
            new ListedInstance(
                id, old.kind(), old.dataCentre(), old.rack(), old.address(), old.pool(), state));
  }

  /** Makes the next reboot of an instance fail. */
  synchronized void failNextReboot(String id) {
    failingReboots.add(id);
  }

  /** Returns whether the current reboot has to fail, and clears that setting. */
  synchronized boolean consumeRebootFailure(String id) {
    return failingReboots.remove(id);
  }

  /** Returns the current instances. */
  synchronized List<ListedInstance> current() {
    return new ArrayList<>(instancesById.values());
  }

  /** Replaces the copy that the list shows. */
  synchronized void publish(List<ListedInstance> instances) {
    visible = List.copyOf(instances);
  }

  /** Returns the instances that the list shows. */
  synchronized List<ListedInstance> visible() {
    return visible;
  }

  /** Returns the status of an instance; empty if it is unknown. */
  synchronized Optional<PoolControl.Status> status(String id) {
    return Optional.ofNullable(statuses.get(id));
  }

  /** Changes the status if it is one of the expected ones; returns whether it was. */
  synchronized boolean changeStatus(
      String id, Set<PoolControl.Status> from, PoolControl.Status to) {
    PoolControl.Status status = statuses.get(id);
    if (status == null || !from.contains(status)) {
      return false;
    }
    statuses.put(id, to);
    return true;
  }
}
