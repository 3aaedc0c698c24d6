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

/** What the instances stand-in knows, and what of it the list shows already. */
final class InstanceTable {

  private final Map<String, ListedInstance> current = new LinkedHashMap<>();
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
    current.put(added.id(), added);
    statuses.put(added.id(), PoolControl.Status.SERVING);
  }

  /** Removes an instance. */
  synchronized void remove(String id) {
    current.remove(id);
    statuses.remove(id);
  }

  /** Changes the state of an instance; an unknown one is ignored. */
  synchronized void mark(String id, ListedInstance.State state) {
    current.computeIfPresent(
        id,
        (key, old) ->
            new ListedInstance(
                id, old.kind(), old.dataCentre(), old.rack(), old.address(), old.pool(), state));
  }

  /** Lets the next reboot of an instance fail. */
  synchronized void failNextReboot(String id) {
    failingReboots.add(id);
  }

  /** Returns whether the reboot under way fails; asked once per reboot. */
  synchronized boolean takeRebootFailure(String id) {
    return failingReboots.remove(id);
  }

  /** Returns the instances as they are now. */
  synchronized List<ListedInstance> now() {
    return new ArrayList<>(current.values());
  }

  /** Lets the list show an earlier copy of the instances. */
  synchronized void show(List<ListedInstance> instances) {
    visible = List.copyOf(instances);
  }

  /** Returns what the list shows. */
  synchronized List<ListedInstance> visible() {
    return visible;
  }

  /** Returns the status of an instance if there is one. */
  synchronized Optional<PoolControl.Status> status(String id) {
    return Optional.ofNullable(statuses.get(id));
  }

  /** Changes the status if it is the expected one; returns whether it was. */
  synchronized boolean advance(String id, Set<PoolControl.Status> from, PoolControl.Status to) {
    PoolControl.Status status = statuses.get(id);
    if (status == null || !from.contains(status)) {
      return false;
    }
    statuses.put(id, to);
    return true;
  }
}
