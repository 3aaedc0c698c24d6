package org.laburnumarch.spi;

import java.util.List;
import java.util.concurrent.CompletionStage;

/** The platform's lagging list of live and leaving instances. */
@FunctionalInterface
public interface InstanceList {

  /** Fetches the whole list; the stage fails with {@link PlatformException}. */
  CompletionStage<List<ListedInstance>> fetch();
}
