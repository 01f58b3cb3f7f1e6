package org.jaywood.cli;

import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;

import org.jaywood.config.AppliedConfiguration;
import org.jaywood.config.Deployment;
import org.jaywood.config.Plan;

/**
 * Command that shows what an apply of a file would change.
 */
@Parameters(commandDescription = "Shows what an apply of a deployment file would change")
final class PlanCommand implements Command {

	@Parameter(description = "FILE", required = true)
	private List<String> files = new ArrayList<>();

	@ParametersDelegate
	private final OperatorOptions options = new OperatorOptions();

	@Override
	public String name() {
		return "plan";
	}

	@Override
	public int run() {
		Deployment planned = OperatorOptions.readDeployment(this.files);
		AppliedConfiguration inForce = this.options.repository().current().orElse(AppliedConfiguration.NONE);
		Plan plan = Plan.between(inForce.deployment(), planned);
		System.out.println("in force: generation " + inForce.generation()
				+ (inForce.author().isEmpty() ? "" : " by " + inForce.author()));
		plan.changes().forEach(System.out::println);
		System.out.println(plan.changes().isEmpty() ? "no changes"
				: plan.changes().size() + " changes; apply with --expect-generation " + inForce.generation());
		return 0;
	}

}
