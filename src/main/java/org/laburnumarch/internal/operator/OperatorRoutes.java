package org.laburnumarch.internal.operator;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;

/** Maps a method and a path to a resource. */
final class OperatorRoutes {

  private static final String ANY_NAME = "*";

  private final List<Route> routes = new ArrayList<>();

  /** A resource; {@code *} in its path matches one name. */
  private record Route(
      String method,
      List<String> path,
      Function<AuthenticatedRequest, CompletionStage<OperatorResponse>> resource) {}

  /** A resource and the name in the position of {@code *} in the requested path. */
  record Match(
      String pathParameter,
      Function<AuthenticatedRequest, CompletionStage<OperatorResponse>> resource) {}

  OperatorRoutes add(
      String method,
      String path,
      Function<AuthenticatedRequest, CompletionStage<OperatorResponse>> resource) {
    routes.add(new Route(method, List.of(path.split("/")), resource));
    return this;
  }

  Optional<Match> find(String method, String path) {
    List<String> segments = List.of(path.split("/", -1));
    return routes.stream()
        .filter(route -> route.method().equals(method) && matches(route.path(), segments))
        .map(route -> new Match(pathParameterOf(route.path(), segments), route.resource()))
        .findFirst();
  }

  private static boolean matches(List<String> path, List<String> segments) {
    boolean isEqual = path.size() == segments.size();
    for (int i = 0; isEqual && i < path.size(); i++) {
      isEqual =
          path.get(i).equals(ANY_NAME)
              ? !segments.get(i).isEmpty()
              : path.get(i).equals(segments.get(i));
    }
    return isEqual;
  }

  private static String pathParameterOf(List<String> path, List<String> segments) {
    int index = path.indexOf(ANY_NAME);
    return index < 0 ? "" : segments.get(index);
  }
}
