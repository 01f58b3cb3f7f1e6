import java.nio.file.Path;

/** Runs one case: exit status 1 if its rule was broken, 0 if it held, 2 if the case could not run. */
public final class Case {

	private Case() {
	}

	/**
	 * Runs a case.
	 * @param arguments name of the case, root of the repository, folder of the case
	 */
	public static void main(String[] arguments) {
		int status = 2;
		try {
			boolean trouble = !"0".equals(System.getenv("TROUBLE"));
			Path repository = Path.of(arguments[1]).toAbsolutePath();
			Path directory = Path.of(arguments[2]).toAbsolutePath();
			status = switch (arguments[0]) {
				case "turned-away" -> TurnedAway.run(repository, directory, trouble);
				case "grey-engine" -> GreyEngine.run(repository, directory, trouble);
				case "spoilt-id" -> SpoiltId.run(repository, directory, trouble);
				case "large-heads" -> LargeHeads.run(repository, directory, trouble);
				case "last-tenant" -> LastTenant.run(repository, directory, trouble);
				default -> throw new IllegalArgumentException("no such case: " + arguments[0]);
			};
		}
		catch (Exception ex) {
			ex.printStackTrace();
		}
		System.out.println("exit status " + status);
		Runtime.getRuntime().halt(status);
	}

}
