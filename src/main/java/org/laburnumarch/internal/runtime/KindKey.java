package org.laburnumarch.internal.runtime;

import org.laburnumarch.internal.job.Resources;
import org.laburnumarch.internal.job.StepSpec;

/**
 * A kind of work: tasks with the same image and about the same needs.
 *
 * @param name the image, or the queue of tasks without one
 * @param isImage whether the name is an image
 * @param cpuClass processor need, as the number of binary digits
 * @param memoryClass memory need, as the number of binary digits
 * @param hasGpus whether the tasks need accelerators
 */
record KindKey(String name, boolean isImage, int cpuClass, int memoryClass, boolean hasGpus) {

  static KindKey of(String queue, StepSpec step) {
    Resources need = step.need();
    boolean isImage = !step.image().isEmpty();
    return new KindKey(
        isImage ? step.image() : queue,
        isImage,
        Long.SIZE - Long.numberOfLeadingZeros(need.cpuMillis()),
        Long.SIZE - Long.numberOfLeadingZeros(need.memoryMb()),
        need.gpus() > 0);
  }
}
