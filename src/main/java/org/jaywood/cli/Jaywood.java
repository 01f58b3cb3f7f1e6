package org.jaywood.cli;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Function;
import java.util.logging.Level;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import org.jspecify.annotations.Nullable;

import org.jaywood.config.ApplyConflictException;
import org.jaywood.config.ApplyUnknownException;
import org.jaywood.config.InvalidDeploymentException;
import org.jaywood.event.DrainLogManager;
import org.jaywood.event.LineFormatter;

/**
 * Main class of every program of the project. It parses the options and runs a command.
 * The environment variable {@code JAYWOOD_<OPTION>} is the default of an option.
 */
public final class Jaywood {

	/** Exit status for invalid options or settings. */
	public static final int EXIT_USAGE = 2;

	/**
	 * Exit status of an apply that changed nothing because another configuration was in
	 * force than expected or another apply came first.
	 */
	public static final int EXIT_CONFLICT = 3;

	/** Exit status of an apply of unknown outcome. */
	public static final int EXIT_UNKNOWN = 4;

	/** Exit status of a process that ends because its parent has ended. */
	public static final int EXIT_ORPHANED = 5;

	private final Map<String, Command> commands = List
		.of(new RouterCommand(), new AgentCommand(), new GatewayCommand(), new ReplicaCommand(), new RehearseCommand(),
				new StandinCommand(), new ValidateCommand(), new PlanCommand(), new ApplyCommand(),
				new RollbackCommand(), new HistoryCommand(), new StatusCommand(), new DumpCommand(),
				new ExplainCommand(), new BenchCommand())
		.stream()
		.collect(Collectors.toMap(Command::name, Function.identity()));

	private final Map<String, String> environment;

	@Parameter(names = "--help", help = true, description = "Shows this help")
	private boolean help;

	@Parameter(names = "--exit-with-parent", hidden = true,
			description = "Ends the process when its parent process ends")
	private boolean exitWithParent;

	public Jaywood(Map<String, String> environment) {
		this.environment = environment;
	}

	public static void main(String[] args) {
		// Set before any method of DrainLogManager is called: initializing its superclass
		// reads the property.
		System.setProperty("java.util.logging.manager", DrainLogManager.class.getName());
		LineFormatter.install(Level.INFO);
		System.exit(new Jaywood(System.getenv()).run(args));
	}

	public int run(String... args) {
		if (Stream.of(args)
			.map(this.commands::get)
			.anyMatch((command) -> command != null && command.handlesReloadSignal())) {
			ReloadSignal.install();
		}
		JCommander parser = parser();
		try {
			if (args.length > 1 && List.of(args).contains("--help") && this.commands.containsKey(args[0])) {
				parser.getUsageFormatter().usage(args[0]);
				return 0;
			}
			parser.parse(args);
			String name = parser.getParsedCommand();
			if (this.help || name == null) {
				parser.usage();
				return this.help ? 0 : EXIT_USAGE;
			}
			if (this.exitWithParent) {
				ProcessHandle.current()
					.parent()
					.ifPresentOrElse((parent) -> parent.onExit().thenRun(Jaywood::haltOrphaned), Jaywood::haltOrphaned);
			}
			Command command = this.commands.get(name);
			return (command != null) ? command.run() : EXIT_USAGE;
		}
		catch (ParameterException ex) {
			System.err.println("jaywood: " + String.valueOf(ex.getMessage()).replaceAll("\\s*\\R\\s*", " "));
			return EXIT_USAGE;
		}
		catch (InvalidDeploymentException ex) {
			System.err.println("jaywood: the file has " + ex.errors().size() + " error(s)");
			ex.errors().forEach(System.err::println);
			return 1;
		}
		catch (ApplyConflictException ex) {
			System.err.println("jaywood: " + ex.getMessage());
			return EXIT_CONFLICT;
		}
		catch (ApplyUnknownException ex) {
			System.err.println("jaywood: " + ex.getMessage());
			return EXIT_UNKNOWN;
		}
		catch (Exception ex) {
			System.err.println("jaywood: " + ex.getMessage());
			return 1;
		}
	}

	private static void haltOrphaned() {
		Runtime.getRuntime().halt(EXIT_ORPHANED);
	}

	private JCommander parser() {
		JCommander.Builder builder = JCommander.newBuilder().addObject(this).programName("jaywood");
		builder.defaultProvider(this::fromEnvironment);
		this.commands.values().forEach((command) -> builder.addCommand(command.name(), command));
		return builder.build();
	}

	private @Nullable String fromEnvironment(String option) {
		String name = "JAYWOOD_" + option.replaceFirst("^--", "").replace('-', '_').toUpperCase(Locale.ROOT);
		return this.environment.get(name);
	}

}
