package org.laburnumarch.spi;

import java.util.List;
import java.util.concurrent.CompletionStage;

/** The platform's list of live and leaving instances, which shows changes with a delay. */
@FunctionalInterface
public interface InstanceList {

  /** Fetches the complete list; on an error, the stage fails with {@link PlatformException}. */
  CompletionStage<List<ListedInstance>> fetch();
}
